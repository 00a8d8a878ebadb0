// Stand-in for the users' platform in one process: the store with its registry
// of workers, and the workers, each with an address of its own.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_SITE_STAND_IN_H_
#define PARSLEYHITCH_TESTS_STAND_INS_SITE_STAND_IN_H_

#include <asio/io_context.hpp>
#include <string>
#include <vector>

namespace parsleyhitch::stand_ins {

// Serves until the event loop stops. `addresses` contains the store's address,
// that of the control calls, and one for each worker.
//
// Workers are registered under their `advertised` addresses, or under those
// they listen on if there are none.
//
// Control calls: POST /operator publishes its body as the configuration, POST
// /control with a site_control sets the faults, GET /journal returns a
// site_journal.
void RunSite(asio::io_context& io,
             const std::vector<std::string>& addresses,
             const std::vector<std::string>& advertised);

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_SITE_STAND_IN_H_
