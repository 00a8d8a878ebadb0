// Which decisions under load a deployment uses. Each is neutral while the load
// that it answers is absent; operators turn one off to compare, or to be rid of
// its effect on a load that it was not made for.

#ifndef PARSLEYHITCH_WORK_POLICIES_H_
#define PARSLEYHITCH_WORK_POLICIES_H_

namespace parsleyhitch::work {

struct policies {
  // Workspaces share capacity that does not suffice for all.
  const bool fair_sharing = true;
  // Jobs that can't start in time by a wide margin are refused at once.
  const bool admission = true;
  // Urgent units wait for room that is about to come free.
  const bool room_waits = true;
  // Lower units leave room free that urgent ones are about to claim.
  const bool urgent_reserve = true;
  // Workers are preferred, or avoided, by the speeds that they have shown.
  const bool worker_speeds = true;
  // A forecast decides whether a unit waits for room near its data.
  const bool locality_forecast = true;

  bool operator==(const policies&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_POLICIES_H_
