#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "simulation.h"

namespace cranberryplank {
namespace {

constexpr Duration kFaultTime{4'000};

/// Point of a change at which a fault begins.
struct Step {
  std::string name;
  Simulation::Write point;
  /// Starts the change and returns the daemon that writes it; empty if any daemon may write it.
  std::function<std::string(Simulation& simulation)> start;
};

struct Fault {
  std::string name;
  std::function<void(Simulation& simulation, const std::string& writer)> begin;
};

std::string ChangeConfiguration(Simulation& simulation) {
  std::string writer = simulation.Live().front();
  simulation.SubmitChange(writer, true);
  return writer;
}

std::string DenyKey(Simulation& simulation) {
  std::string writer = simulation.Live().front();
  simulation.Replica(writer).DenyKey(simulation.LocalNow(writer), Digest{"key"});
  return writer;
}

std::string Register(Simulation& simulation) { return simulation.Start("vm-new"); }

std::string Remove(Simulation& simulation) {
  simulation.LoseVm(simulation.Live().back());
  return "";
}

std::string Deregister(Simulation& simulation) {
  std::string writer = simulation.Live().back();
  simulation.Replica(writer).Deregister(
      simulation.LocalNow(writer), [&simulation, writer](TimePoint) {
        simulation.After(Duration(1), [&simulation, writer] { simulation.LoseVm(writer); });
      });
  return writer;
}

std::vector<Step> Steps() {
  using Write = Simulation::Write;
  return {{"configuration change, writing parts", Write::kPart, ChangeConfiguration},
          {"configuration change, swapping", Write::kSwap, ChangeConfiguration},
          {"configuration change, taking effect", Write::kRecorded, ChangeConfiguration},
          {"key withdrawal, writing parts", Write::kPart, DenyKey},
          {"key withdrawal, swapping", Write::kSwap, DenyKey},
          {"key withdrawal, taking effect", Write::kRecorded, DenyKey},
          {"registration, swapping", Write::kSwap, Register},
          {"registration, taking effect", Write::kRecorded, Register},
          {"removal of a lost VM, swapping", Write::kSwap, Remove},
          {"removal of a lost VM, taking effect", Write::kRecorded, Remove},
          {"deregistration, swapping", Write::kSwap, Deregister},
          {"deregistration, taking effect", Write::kRecorded, Deregister}};
}

std::vector<Fault> Faults() {
  return {{"kill",
           [](Simulation& simulation, const std::string& writer) {
             simulation.After(Duration(0), [&simulation, writer] { simulation.LoseVm(writer); });
           }},
          {"pause",
           [](Simulation& simulation, const std::string& writer) { simulation.Pause(writer); }},
          {"one-way partition, writer not heard",
           [](Simulation& simulation, const std::string& writer) {
             simulation.partitions[0] = NetworkPartition{{writer}, true, false};
           }},
          {"one-way partition, writer hears nothing",
           [](Simulation& simulation, const std::string& writer) {
             simulation.partitions[0] = NetworkPartition{{writer}, false, true};
           }},
          {"two-way partition",
           [](Simulation& simulation, const std::string& writer) {
             simulation.partitions[0] = NetworkPartition{{writer}, true, true};
             simulation.node_faults[writer].down = true;
           }},
          {"store down",
           [](Simulation& simulation, const std::string&) { simulation.store_faults.down = true; }},
          {"store slow",
           [](Simulation& simulation, const std::string&) { simulation.store_faults.slow = true; }},
          {"response lost after the write",
           [](Simulation& simulation, const std::string& writer) {
             simulation.node_faults[writer].reply_lost = 1;
           }},
          {"write arrives late",
           [](Simulation& simulation, const std::string& writer) {
             simulation.node_faults[writer].arrives_late = 1;
           }},
          {"operator race", [](Simulation& simulation, const std::string& writer) {
             for (const std::string& incarnation : simulation.Live()) {
               if (incarnation != writer) {
                 simulation.SubmitChange(incarnation, true);
               }
             }
           }}};
}

void GrantKey(Simulation& simulation) {
  const std::string writer = simulation.Live().front();
  bool recorded = false;
  simulation.Replica(writer).Submit(
      simulation.LocalNow(writer), "grant",
      [](const Fleet& current, std::string*) {
        Fleet fleet = current;
        fleet.keys["key"] = KeyGrant{Digest{"key"}, "team"};
        return std::optional<Fleet>(fleet);
      },
      [&](TimePoint, const ChangeResult&) { recorded = true; });
  simulation.Require(
      Duration(5'000), [&] { return recorded && simulation.AllInEffect(); },
      "the key is not granted");
}

void RunCombination(const Step& step, const Fault& fault) {
  Simulation simulation(1);
  simulation.StartFleet(5);
  GrantKey(simulation);
  bool begun = false;
  std::string writer;
  simulation.write_hook = [&](Simulation::Write write, const std::string& incarnation) {
    if (!begun && write == step.point && (writer.empty() || incarnation == writer)) {
      begun = true;
      writer = incarnation;
      fault.begin(simulation, writer);
    }
  };
  writer = step.start(simulation);
  simulation.Require(
      Duration(10'000), [&] { return begun; }, "the step is not reached");
  simulation.Run(kFaultTime);
  simulation.Heal();
  simulation.Require(
      Duration(3'000),
      [&] {
        return std::all_of(
            simulation.recorded_head().daemons.begin(), simulation.recorded_head().daemons.end(),
            [&](const DaemonRecord& daemon) {
              return simulation.Find(daemon.incarnation) == nullptr ||
                     daemon.incarnation == writer || simulation.Fresh(daemon.incarnation);
            });
      },
      "a daemon is not fresh 3 s after the fault");
  const auto key_is_resolved = [&] {
    // A denial is lost with its daemon if no other daemon has received it yet.
    const std::vector<std::string> live = simulation.Live();
    return simulation.Find(writer) == nullptr ||
           std::all_of(live.begin(), live.end(), [&](const std::string& incarnation) {
             return simulation.Replica(incarnation).fleet().keys.contains("key") !=
                    step.name.starts_with("key");
           });
  };
  // A VM that was lost before any daemon read a VM list with it is removed after 30 s.
  simulation.Require(
      Duration(40'000),
      [&] {
        return simulation.RegisteredExactlyLive() && simulation.AllFresh() && key_is_resolved();
      },
      "the fleet does not recover");
  simulation.RequireChangeTakesEffect();
  CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

// Guards against a fault during a change of configuration, keys or membership that violates a
// guarantee of the head or keeps the fleet from recovering.
TEST_CASE("membership fault matrix") {
  const std::vector<Step> steps = Steps();
  const std::vector<Fault> faults = Faults();
  for (const Step& step : steps) {
    for (const Fault& fault : faults) {
      DYNAMIC_SECTION(step.name << " / " << fault.name) { RunCombination(step, fault); }
    }
  }
}

}  // namespace
}  // namespace cranberryplank
