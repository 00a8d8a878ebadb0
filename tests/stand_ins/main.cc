// Runs one stand-in:
//   stand_ins --role log|vms|worker|site|proxy --listen ip:port[,ip:port...]

#include <gflags/gflags.h>
#include <sys/prctl.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "settings/comma_list.h"
#include "stand_ins/proxy_stand_in.h"
#include "stand_ins/site_stand_in.h"
#include "stand_ins/stand_in.h"

DEFINE_string(role, "", "log, vms, worker, site or proxy");
DEFINE_string(listen, "", "comma-separated addresses to listen on");
DEFINE_string(advertise,
              "",
              "comma-separated addresses under which a site's workers are "
              "registered; by default those they listen on");
DEFINE_uint32(accelerators, 8, "number of accelerators of a worker");
DEFINE_int64(task_ms, 1000, "run time of a worker's tasks in milliseconds");

int main(int argc, char** argv) {
  // Makes the kernel kill the stand-in when the test that started it exits,
  // also if the test is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context io(1);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  if (FLAGS_role == "log") {
    parsleyhitch::stand_ins::RunLog(
        io, parsleyhitch::settings::SplitByComma(FLAGS_listen));
  } else if (FLAGS_role == "vms") {
    parsleyhitch::stand_ins::RunVmList(io, FLAGS_listen);
  } else if (FLAGS_role == "worker") {
    parsleyhitch::stand_ins::RunWorker(io, FLAGS_listen, FLAGS_accelerators,
                                       FLAGS_task_ms);
  } else if (FLAGS_role == "site") {
    parsleyhitch::stand_ins::RunSite(
        io, parsleyhitch::settings::SplitByComma(FLAGS_listen),
        parsleyhitch::settings::SplitByComma(FLAGS_advertise));
  } else if (FLAGS_role == "proxy") {
    parsleyhitch::stand_ins::RunProxy(
        io, parsleyhitch::settings::SplitByComma(FLAGS_listen));
  } else {
    std::cerr << "unknown --role\n";
    return 2;
  }
  return 0;
}
