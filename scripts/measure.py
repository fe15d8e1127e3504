#!/usr/bin/env python3
"""Measurements with whole fleets on loopback; each prints one Markdown table with its command.

    scripts/measure.py replica_share|strict_reads|goodput|layouts|failover|direct|control|changes
        [--seed N]
"""

import argparse
import concurrent.futures
import itertools
import json
import os
import platform
import signal
import statistics
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fleet as fleet_module  # noqa: E402  the path above is needed first

DEPLOYMENTS = ("nile_horn", "carrowmore")
# Statement time at the target, chosen so that nine targets reach their capacity long before this
# machine does: 3 slots x 100 statements/s.
OVERLOAD_STATEMENT_US = 10000
# The search for the capacity of the mix (goodput).
FIRST_RATE = 80
MAX_CAPACITY_STEPS = 6
MAX_FAILED_SHARE = 0.01
LOSSES = ("killed", "stopped", "partitioned", "silent connections")
# News of the start of a fleet are passed on for about 10 s and are no part of the resting rate.
CONTROL_SETTLE_S = 20
# Bound of docs/design.md, section 1.
MAX_GAP_MS = 6000
# Between two looks at the version of a proxy; an upper bound of what a look adds to a figure.
VERSION_LOOK_S = 0.02


class Measurement:
    def __init__(self, arguments):
        self.seed = arguments.seed
        self.duration = arguments.duration
        self.violations = 0
        self.rounds = arguments.rounds
        self.parallel = arguments.parallel
        self.change_count = arguments.changes

    def print_header(self, name, text):
        print("## %s\n" % text)
        print(
            "Command: `python3 scripts/measure.py %s --seed %d --duration %g --rounds %d`\n"
            % (name, self.seed, self.duration, self.rounds)
        )

    def run_load(self, fleet, *options, pools=None, duration=None):
        load = fleet.start_load(
            "--seed", self.seed, "--duration", duration or self.duration, *options, pools=pools
        )
        return self.finish(load)

    def finish(self, load):
        code, report = load.finish(300)
        if report is None:
            raise fleet_module.FleetError("load ended with %s:\n%s" % (code, load.read_output()))
        if report["violations_total"]:
            self.violations += report["violations_total"]
            print(load.read_output(), file=sys.stderr)
        return report

    def write_workload(self, fleet, name, operations, **fields):
        content = {"name": name, "operations": operations}
        content.update(fields)
        return fleet.write_settings("workload_" + name, content)

    def replica_share(self):
        self.print_header(
            "replica_share", "Replica read share and latency at three replication lags"
        )
        print("| deployment | lag ms | not strict | strict | read p50/p99 ms | strict read p50/p99 ms", end="")
        print(" | write p50/p99 ms | goodput/s | violations |")
        print("|---|---|---|---|---|---|---|---|---|")
        for deployment in DEPLOYMENTS:
            for lag in (0, 50, 1000):
                with fleet_module.Fleet(deployment, lag_ms=lag, seed=self.seed) as fleet:
                    report = self.run_load(fleet, "--clients", 24, "--warm-up", 3)
                share = report["replica_read_share"]
                latency = report["latency_ms"]
                strict = "stock_promise" if deployment == "nile_horn" else "recipe_read"
                print(
                    "| %s | %d | %.1f %% | %.1f %% | %s | %s | %s | %.0f | %d |"
                    % (
                        deployment,
                        lag,
                        100 * share["not_strict"],
                        100 * share["strict"],
                        self.show(latency["all_reads"]),
                        self.show(latency[strict]),
                        self.show(latency["all_writes"]),
                        report["goodput_per_second"],
                        report["violations_total"],
                    ),
                    flush=True,
                )

    @staticmethod
    def show(latency):
        return "%.1f / %.1f" % (latency["p50"], latency["p99"])

    def strict_reads(self):
        self.print_header("strict_reads", "Strict reads from replicas against the primary alone")
        print("One pool, 48 clients, 95 % strict reads, statements of 10 ms.\n")
        print("| targets that serve | reads/s | p50 ms | p99 ms | replica share | violations |")
        print("|---|---|---|---|---|---|")
        for replicas in (True, False):
            with fleet_module.Fleet(
                "carrowmore",
                lag_ms=0,
                seed=self.seed,
                pools=["wax_a"],
                target_settings={"statement_cost_us": 10000},
            ) as fleet:
                if not replicas:
                    self.mark_replicas_leaving(fleet)
                workload = self.write_workload(
                    fleet,
                    "strict",
                    [
                        {
                            "name": "recipe_read",
                            "action": "read_stock",
                            "weight": 95,
                            "policy": {"strict": True},
                        },
                        {"name": "order", "action": "append", "weight": 5, "keyed": True},
                    ],
                )
                report = self.run_load(
                    fleet, "--clients", 48, "--warm-up", 3, "--workload", workload
                )
            latency = report["latency_ms"]["recipe_read"]
            print(
                "| %s | %.0f | %.1f | %.1f | %.1f %% | %d |"
                % (
                    "all three" if replicas else "primary (replicas leaving)",
                    report["reads_total"] / report["measured_seconds"],
                    latency["p50"],
                    latency["p99"],
                    100 * report["replica_read_share"]["strict"],
                    report["violations_total"],
                ),
                flush=True,
            )

    def mark_replicas_leaving(self, fleet):
        primary = fleet.get_primary(fleet.pools[0])
        fleet.change_configuration(
            {
                "kind": "target",
                "name": name,
                "value": fleet.make_target_value(name, is_leaving=True),
            }
            for name in fleet.targets
            if name != primary
        )
        path = "/v1/pools/%s/statements" % fleet.pools[0]
        body = {
            "kind": "read",
            "read_policy": {"max_age_ms": 60000},
            "statements": [{"sql": "SELECT 1"}],
        }
        for name in fleet.proxies:
            fleet_module.wait_for(
                lambda name=name: fleet.call_proxy(name, path, body)[1]["configuration_version"]
                >= fleet.version,
                5,
                "the change at " + name,
            )

    def goodput(self):
        self.print_header("goodput", "Goodput at 1x and 3x capacity")
        print(
            "Capacity is the highest rate of an open loop with under %g %% of the operations refused, "
            "unknown or late, found in at most %d steps from %d/s; 1x and 3x of it are then measured "
            "anew. Goodput counts answers within the deadline of 1 s. Callers do not repeat refusals; "
            "a statement costs %d ms.\n"
            % (
                100 * MAX_FAILED_SHARE,
                MAX_CAPACITY_STEPS,
                FIRST_RATE,
                OVERLOAD_STATEMENT_US // 1000,
            )
        )
        print("| deployment | step | offered/s | goodput/s | failed | refused/s | late/s", end="")
        print(" | read p50/p99 ms | write p50/p99 ms | violations |")
        print("|---|---|---|---|---|---|---|---|---|---|")
        for deployment in DEPLOYMENTS:
            self.measure_goodput(deployment)

    def measure_goodput(self, deployment):
        with fleet_module.Fleet(
            deployment,
            lag_ms=20,
            seed=self.seed,
            target_settings={"statement_cost_us": OVERLOAD_STATEMENT_US},
        ) as fleet:
            capacity = self.find_capacity(fleet, deployment)
            if capacity is None:
                print("| %s | no step met the limit | | | | | | | | |" % deployment, flush=True)
                return
            once, _ = self.offer_rate(fleet, deployment, "1x", capacity)
            thrice, _ = self.offer_rate(fleet, deployment, "3x", 3 * capacity)
            print(
                "| %s | 3x / 1x | | %.1f %% | | | | | | |" % (deployment, 100 * thrice / once),
                flush=True,
            )

    def find_capacity(self, fleet, deployment):
        """Highest rate seen to meet the limit, or None; raises it by half, then bisects."""
        good, bad, rate = None, None, FIRST_RATE
        for _ in range(MAX_CAPACITY_STEPS):
            _, failed_share = self.offer_rate(fleet, deployment, "search", rate)
            if failed_share < MAX_FAILED_SHARE:
                good = rate
            else:
                bad = rate
            if bad is None:
                rate = good * 1.5
            elif good is None:
                rate = bad / 2
            elif bad / good < 1.1:
                break
            else:
                rate = (good + bad) / 2
        return good

    def offer_rate(self, fleet, deployment, step, rate):
        """One open-loop run; returns the goodput per second and the share of failed operations."""
        report = self.run_load(
            fleet, "--clients", 512, "--rate", rate, "--warm-up", 3, "--deadline-ms", 1000, "--no-retry"
        )
        operations = report["operations"]
        in_time = operations["completed"] - operations["late"]
        total = operations["completed"] + operations["refused"] + operations["unknown"]
        failed_share = 1 - in_time / total if total else 1.0
        seconds = report["measured_seconds"]
        print(
            "| %s | %s | %.0f | %.0f | %.1f %% | %.1f | %.1f | %s | %s | %d |"
            % (
                deployment,
                step,
                rate,
                in_time / seconds,
                100 * failed_share,
                operations["refused"] / seconds,
                operations["late"] / seconds,
                self.show(report["latency_ms"]["all_reads"]),
                self.show(report["latency_ms"]["all_writes"]),
                report["violations_total"],
            ),
            flush=True,
        )
        return in_time / seconds, failed_share

    def layouts(self):
        self.print_header("layouts", "Homes against a fixed split of the connections")
        print("96 clients, closed loop, statements of 5 ms.\n")
        print("| deployment | layout | goodput/s | read p50/p99 ms | write p50/p99 ms", end="")
        print(" | replica share | refusals | violations |")
        print("|---|---|---|---|---|---|---|---|")
        for deployment, layout in itertools.product(DEPLOYMENTS, ("homes", "fixed_split")):
            with fleet_module.Fleet(
                deployment,
                lag_ms=20,
                seed=self.seed,
                target_settings={"statement_cost_us": 5000},
                proxy_settings={"connection_layout": layout},
            ) as fleet:
                report = self.run_load(fleet, "--clients", 96, "--warm-up", 3)
            print(
                "| %s | %s | %.0f | %s | %s | %.1f %% | %d | %d |"
                % (
                    deployment,
                    layout,
                    report["goodput_per_second"],
                    self.show(report["latency_ms"]["all_reads"]),
                    self.show(report["latency_ms"]["all_writes"]),
                    100 * report["replica_read_share"]["all"],
                    sum(report["refusals"].values()),
                    report["violations_total"],
                ),
                flush=True,
            )

    def failover(self):
        self.print_header("failover", "Failover gap per kind of loss")
        print(
            "From the loss to the first acknowledged write that began after it; 3 losses in each of "
            "%d fleets, one per pool, so that hysteresis adds nothing. %d fleets at a time. The "
            "store is down (it does not answer) from before the loss in the rows that say so.\n"
            % (self.rounds, self.parallel)
        )
        print("| deployment | store | kind of loss | losses | p50 ms | max ms", end="")
        print(" | over 6 s | without a write within the run | violations |")
        print("|---|---|---|---|---|---|---|---|---|")
        for deployment, store in itertools.product(DEPLOYMENTS, ("up", "down")):
            for label in LOSSES:
                with concurrent.futures.ThreadPoolExecutor(self.parallel) as executor:
                    rounds = executor.map(
                        lambda number: self.lose_primaries(deployment, store, label, number),
                        range(self.rounds),
                    )
                    reports = [report for fleet_reports in rounds for report in fleet_reports]
                self.print_failover_row(deployment, store, label, reports)

    def lose_primaries(self, deployment, store, label, number):
        reports = []
        with fleet_module.Fleet(deployment, lag_ms=20, seed=self.seed + number) as fleet:
            if store == "down":
                fleet.platform_fault(outage="hang")
            for pool in fleet.pools:
                reports.append(self.lose_one(fleet, pool, label))
                fleet.fault("*", "restore")
        return reports

    @staticmethod
    def print_failover_row(deployment, store, label, reports):
        gaps = [report["failover_gap_ms"] for report in reports]
        known = [gap for gap in gaps if gap is not None]
        print(
            "| %s | %s | %s | %d | %s | %s | %d | %d | %d |"
            % (
                deployment,
                store,
                label,
                len(gaps),
                "%.0f" % statistics.median(known) if known else "-",
                "%.0f" % max(known) if known else "-",
                sum(gap > MAX_GAP_MS for gap in known),
                len(gaps) - len(known),
                sum(report["violations_total"] for report in reports),
            ),
            flush=True,
        )

    def lose_one(self, fleet, pool, label):
        load = fleet.start_load(
            "--seed", self.seed, "--duration", self.duration, "--clients", 32, "--warm-up", 1
        )
        load.wait_running()
        fleet_module.wait_for(lambda: load.get_state()["completed"] > 300, 30, "load")
        primary = fleet.get_primary(pool)
        process = fleet.processes[primary]
        links = [primary + ">*", "%s/*>%s" % (pool, primary)]
        actions = {
            "killed": process.kill,
            "stopped": lambda: process.send(signal.SIGSTOP),
            "partitioned": lambda: fleet.fault(links, "silence", includes_new=True),
            "silent connections": lambda: fleet.fault(
                ["vm*>" + primary, primary + ">*"], "silence", release_ms=1000
            ),
        }
        load.lose_primary(pool, primary, label, actions[label])
        return self.finish(load)

    def direct(self):
        self.print_header("direct", "Statements per second of one proxy against libpq alone")
        print(
            "Reads of one row, no link latency, statement cost 0, one target group; the proxy runs "
            "with the other seven idle. The direct clients hold one connection each.\n"
        )
        print("| clients | direct/s | direct p50/p99 ms | one proxy/s | one proxy p50/p99 ms |")
        print("|---|---|---|---|---|")
        with fleet_module.Fleet(
            "nile_horn",
            seed=self.seed,
            with_latency=False,
            pools=["ledger_a"],
            target_settings={
                "statement_cost_us": 0,
                "slots": 16,
                "connection_limit": 100,
            },
        ) as fleet:
            primary = fleet.get_primary("ledger_a")
            workload = self.write_workload(
                fleet,
                "reads",
                [
                    {
                        "name": "read",
                        "action": "read_stock",
                        "weight": 1,
                        "policy": {"max_age_ms": 60000},
                    }
                ],
                roam_share=0,
            )
            for clients in (1, 4, 16):
                report_path = os.path.join(fleet.directory, "direct.json")
                subprocess.run(
                    [
                        os.path.join(fleet_module.BUILD, "hornbeamhook-load"),
                        "--direct",
                        fleet.targets[primary]["address"],
                        "--clients",
                        str(clients),
                        "--duration",
                        str(self.duration),
                        "--report-json",
                        report_path,
                    ],
                    check=True,
                    stdout=subprocess.DEVNULL,
                )
                with open(report_path) as file:
                    direct = json.load(file)
                report = self.run_through_one_proxy(fleet, workload, clients)
                print(
                    "| %d | %.0f | %s | %.0f | %s |"
                    % (
                        clients,
                        direct["statements_per_second"],
                        self.show(direct["latency_ms"]),
                        report["goodput_per_second"],
                        self.show(report["latency_ms"]["read"]),
                    ),
                    flush=True,
                )

    def run_through_one_proxy(self, fleet, workload, clients):
        make = fleet.make_load_settings

        def make_for_one(*arguments, **fields):
            settings = make(*arguments, **fields)
            settings["proxies"] = [
                dict(proxy, address=fleet.proxies[proxy["name"]]["address"])
                for proxy in settings["proxies"][:1]
            ]
            return settings

        fleet.make_load_settings = make_for_one
        try:
            return self.run_load(fleet, "--clients", clients, "--workload", workload)
        finally:
            fleet.make_load_settings = make


    def sample_control(self, fleet):
        """Per proxy: bytes of control traffic by kind, processor seconds and resident bytes."""
        samples = {}
        for name, proxy in fleet.proxies.items():
            pid = fleet.processes[name].popen.pid
            with open("/proc/%d/stat" % pid) as file:
                fields = file.read().rsplit(")", 1)[1].split()
            status = fleet_module.call_http(
                proxy["address"],
                "GET",
                "/internal/v1/status",
                headers={"X-Hornbeamhook-Fleet": fleet_module.FLEET_SECRET},
            )[1]
            samples[name] = {
                "cpu_s": (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"),
                "rss": int(fields[21]) * os.sysconf("SC_PAGE_SIZE"),
                "traffic": {kind: value["bytes"] for kind, value in status["traffic"].items()},
            }
        return samples

    def control(self):
        self.print_header("control", "Control traffic and cost per proxy without callers")
        print("Three groups of three targets, no link latency; mean over the proxies of a fleet.\n")
        print("| proxies | control B/s | exchange B/s | polls B/s | store B/s | % of a core | resident MB |")
        print("|---|---|---|---|---|---|---|")
        for count in (4, 8, 16, 32, 64):
            with fleet_module.Fleet(
                "nile_horn",
                seed=self.seed,
                proxy_count=count,
                with_relays=False,
                proxy_settings={"worker_threads": 4, "http_threads": 2},
            ) as fleet:
                time.sleep(CONTROL_SETTLE_S)
                began = time.monotonic()
                before = self.sample_control(fleet)
                time.sleep(self.duration)
                after = self.sample_control(fleet)
                span = time.monotonic() - began
            self.print_control_row(count, before, after, span)

    def print_control_row(self, count, before, after, span):
        def get_rate(kinds):
            total = 0
            for name in after:
                for kind, value in after[name]["traffic"].items():
                    if any(kind.startswith(wanted) for wanted in kinds):
                        total += value - before[name]["traffic"].get(kind, 0)
            return total / len(after) / span

        cpu = sum(after[n]["cpu_s"] - before[n]["cpu_s"] for n in after) / len(after) / span
        rss = sum(after[n]["rss"] for n in after) / len(after)
        print(
            "| %d | %.0f | %.0f | %.0f | %.0f | %.2f | %.0f |"
            % (
                count,
                get_rate([""]),
                get_rate(["exchange"]),
                get_rate(["poll"]),
                get_rate(["store"]),
                cpu * 100,
                rss / 1e6,
            )
        )

    def changes(self):
        self.print_header("changes", "Time until a configuration change is in force on 8 proxies")
        print(
            "One change each 100 ms. A change is in force when every proxy reports its version; each "
            "proxy is asked every %d ms, which is part of the figures. While a proxy is cut off from "
            "the store and all peers (5 s of every 20 s) it refuses work and does not count; "
            "afterwards it must report the newest version.\n" % (VERSION_LOOK_S * 1000)
        )
        print("| store | changes | p50 ms | p99 ms | max ms | over 3 s | reverted versions", end="")
        print(" | return of the cut-off proxy, max ms |")
        print("|---|---|---|---|---|---|---|---|")
        cases = (
            ("up", {}, False),
            ("500 ms slower", {"latency_ms": 500}, False),
            ("up, one proxy cut off at times", {}, True),
        )
        for label, faults, cuts in cases:
            with fleet_module.Fleet("nile_horn", seed=self.seed) as fleet:
                if faults:
                    fleet.platform_fault(**faults)
                self.measure_changes(fleet, label, cuts)

    def measure_changes(self, fleet, label, cuts):
        watch = VersionWatch(fleet)
        committed, returns = [], []
        cut_proxy = list(fleet.proxies)[-1]
        began = time.monotonic()
        cut_at = None
        for number in range(self.change_count):
            elapsed = time.monotonic() - began
            if cuts and cut_at is None and elapsed % 20 > 10 and elapsed % 20 < 14:
                cut_at = time.monotonic()
                watch.exclude(cut_proxy)
                fleet.fault([cut_proxy + ">*", "*>" + cut_proxy], "cut")
            if cut_at is not None and time.monotonic() - cut_at > 5:
                fleet.fault("*", "restore")
                returns.append(watch.wait_back(cut_proxy, fleet.version))
                cut_at = None
            version = fleet.change_configuration(
                [{"kind": "pool", "name": fleet.pools[0], "value": {"queue_length": 200 + number % 50}}]
            )
            committed.append((version, time.monotonic()))
            time.sleep(max(0, began + (number + 1) * 0.1 - time.monotonic()))
        if cut_at is not None:
            fleet.fault("*", "restore")
            returns.append(watch.wait_back(cut_proxy, fleet.version))
        spans = sorted(1000 * span for span in watch.finish(committed))
        self.violations += watch.reverted + sum(span > 3000 for span in spans)
        print(
            "| %s | %d | %.0f | %.0f | %.0f | %d | %d | %s |"
            % (
                label,
                len(spans),
                statistics.median(spans),
                spans[int(len(spans) * 0.99)],
                spans[-1],
                sum(span > 3000 for span in spans),
                watch.reverted,
                "%.0f" % (1000 * max(returns)) if returns else "-",
            ),
            flush=True,
        )


class VersionWatch:
    """Asks every proxy for its configuration version, one thread each, and keeps when it rose."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lock = threading.Lock()
        self.seen = {name: [] for name in fleet.proxies}  # (version, time) of each rise
        self.excluded = {name: [] for name in fleet.proxies}  # (from, until)
        self.reverted = 0
        self.is_stopping = False
        self.threads = [threading.Thread(target=self.run, args=(name,)) for name in fleet.proxies]
        for thread in self.threads:
            thread.start()

    def run(self, name):
        version = 0
        address = self.fleet.proxies[name]["address"]
        headers = {"X-Hornbeamhook-Fleet": fleet_module.FLEET_SECRET}
        while not self.is_stopping:
            now = fleet_module.call_http(
                address, "GET", "/internal/v1/status", headers=headers
            )[1]["configuration_version"]
            with self.lock:
                self.reverted += now < version
                if now > version:
                    self.seen[name].append((now, time.monotonic()))
            version = now
            time.sleep(VERSION_LOOK_S)

    def exclude(self, name):
        with self.lock:
            self.excluded[name].append([time.monotonic(), float("inf")])

    def wait_back(self, name, version):
        """Waits until the proxy reports `version`; returns the seconds since this call."""
        began = time.monotonic()
        fleet_module.wait_for(
            lambda: self.seen[name] and self.seen[name][-1][0] >= version, 30, name + " to return"
        )
        with self.lock:
            self.excluded[name][-1][1] = time.monotonic()
        return time.monotonic() - began

    def finish(self, committed):
        """Seconds from each commit until the last proxy that counts reported the version."""
        last = committed[-1][0]
        fleet_module.wait_for(
            lambda: all(seen and seen[-1][0] >= last for seen in self.seen.values()),
            30,
            "the last version everywhere",
        )
        self.is_stopping = True
        for thread in self.threads:
            thread.join()
        return [self.get_span(version, at) for version, at in committed]

    def get_span(self, version, at):
        span = 0.0
        for name, seen in self.seen.items():
            if any(start - 1 < at < until for start, until in self.excluded[name]):
                continue
            span = max(span, next(when for number, when in seen if number >= version) - at)
        return span


def main():
    names = ("replica_share", "strict_reads", "goodput", "layouts", "failover", "direct", "control", "changes")
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("measurement", choices=names)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=12, help="seconds of each load")
    parser.add_argument("--rounds", type=int, default=1, help="fleets per kind of loss")
    parser.add_argument("--parallel", type=int, default=1, help="fleets at a time (failover)")
    parser.add_argument("--changes", type=int, default=1000, help="configuration changes (changes)")
    arguments = parser.parse_args()
    measurement = Measurement(arguments)
    getattr(measurement, arguments.measurement)()
    print("\nMachine: %s, %d cores shared with other processes.\n" % (platform.machine(), os.cpu_count()))
    sys.exit(1 if measurement.violations else 0)


if __name__ == "__main__":
    main()
