// The known evacuations, by the order in which changes of them are learnt.

#include "dispatch/store/evacuated_domains.h"

#include <criterion/criterion.h>

namespace dispatch = parsleyhitch::dispatch;
namespace work = parsleyhitch::work;
using dispatch::evacuated_domains;

namespace {

struct domains_fixture {
  static work::domain_evacuation Begin(const char* domain) {
    return {.failure_domain = work::failure_domain_id(domain)};
  }
  static work::domain_evacuation End(const char* domain) {
    return {.failure_domain = work::failure_domain_id(domain), .active = false};
  }
  static bool Has(const evacuated_domains& known, const char* domain) {
    return known.active.contains(work::failure_domain_id(domain));
  }
};

}  // namespace

Test(evacuated_domains, with_two_evacuations_keep_one_when_the_other_ends) {
  evacuated_domains known;
  known = dispatch::ApplyEvacuation(known, 3, domains_fixture::Begin("a"));
  known = dispatch::ApplyEvacuation(known, 4, domains_fixture::Begin("b"));
  known = dispatch::ApplyEvacuation(known, 5, domains_fixture::End("a"));
  cr_assert_not(domains_fixture::Has(known, "a"));
  cr_assert(domains_fixture::Has(known, "b"));
}

// Guards against a late read that undoes what a peer has reported since.
Test(evacuated_domains, reported_by_a_peer_ignore_items_read_before) {
  evacuated_domains known =
      dispatch::Adopt({}, {.position = 9, .failure_domains = {}});
  known = dispatch::ApplyEvacuation(known, 5, domains_fixture::Begin("a"));
  cr_assert_not(domains_fixture::Has(known, "a"));
  known = dispatch::ApplyEvacuation(known, 9, domains_fixture::Begin("a"));
  cr_assert(domains_fixture::Has(known, "a"));
}

Test(evacuated_domains, reported_as_of_an_earlier_position_are_unchanged) {
  evacuated_domains known = dispatch::AdvanceTo(
      dispatch::ApplyEvacuation({}, 3, domains_fixture::Begin("a")), 4);
  known = dispatch::Adopt(known, {.position = 4, .failure_domains = {}});
  cr_assert(domains_fixture::Has(known, "a"));
}

Test(evacuated_domains, missing_in_a_snapshot_are_in_service_again) {
  evacuated_domains known = dispatch::AdvanceTo(
      dispatch::ApplyEvacuation({}, 3, domains_fixture::Begin("a")), 4);
  known = dispatch::ApplyEvacuation(known, 6, domains_fixture::Begin("b"));
  known = dispatch::EndSnapshot(known, 8);
  cr_assert(domains_fixture::Has(known, "b"));
  known = dispatch::EndSnapshot(known, 12);
  cr_assert_not(domains_fixture::Has(known, "a"));
  cr_assert_not(domains_fixture::Has(known, "b"));
}

// Guards against a slow snapshot that undoes a later evacuation.
Test(evacuated_domains, evacuated_after_a_snapshot_began_stay_evacuated) {
  evacuated_domains known = dispatch::Adopt(
      {}, {.position = 9, .failure_domains = {work::failure_domain_id("a")}});
  known = dispatch::EndSnapshot(known, 8);
  cr_assert(domains_fixture::Has(known, "a"));
}
