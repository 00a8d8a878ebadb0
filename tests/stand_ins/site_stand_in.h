// The users' platform in one process: the store, its registry, and workers with
// an address each.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_SITE_STAND_IN_H_
#define PARSLEYHITCH_TESTS_STAND_INS_SITE_STAND_IN_H_

#include <asio/io_context.hpp>
#include <string>
#include <vector>

namespace parsleyhitch::stand_ins {

// Serves until the loop ends. `addresses`: the store's, that of the control
// calls, and one for each worker.
//
// The registry names the workers' `advertised` addresses, or their own when
// there are none.
//
// Control calls: POST /operator publishes its body as the configuration, POST
// /control inflicts and mends failures, GET /journal tells what was seen.
void RunSite(asio::io_context& io,
             const std::vector<std::string>& addresses,
             const std::vector<std::string>& advertised);

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_SITE_STAND_IN_H_
