"""Checks what callers received against what the backend servers ran.

A process counts as undisturbed when no fault was injected into it, its connection to
the store or the store itself for STABLE_SECONDS. Rules with a time bound apply only to
undisturbed processes. A stall of this program disturbs all processes. A stop of a process
and disturbances of the store do not excuse a request that is lost around that stop. Rules
for what was accepted after the store came back from a copy hold STABLE_SECONDS later."""

from dataclasses import dataclass, field

from workspaces import workspace_of

STABLE_SECONDS = 3.0
GRACE_SECONDS = 6.0
LEAVING_SECONDS = 2.0
CONFIG_SECONDS = 2.0
TIMEOUT_SLACK_SECONDS = 0.5
RETRY_RATIO = 0.2
RETRY_SLACK = 58
BUDGET_SECONDS = 10.0
LOST_ALLOWED = 3
LAST_WORK_SECONDS = GRACE_SECONDS / 6  # end of the grace period in which work may be cut
LATE_REQUEST_SECONDS = 3.0  # after the signal, work on later requests may not be cut
STOP_END_SECONDS = 1.0  # after the grace period
STALL_SECONDS = 0.15
CLOSE_SLACK_SECONDS = 0.2  # in which a close may cross a request
MAX_VIOLATIONS = 20  # kept per seed and rule
NOT_RUN = (408, 421, 429, 503)
PAUSE_BEGIN_SECONDS = 0.5  # after an answer that asks for a pause
PAUSE_ARRIVALS = 2  # allowed in a pause
EVACUATION_SECONDS = 5.0
COLD_PER_SECOND, COLD_OVERSHOOT, COLD_SLACK = 6.0, 1.5, 8


@dataclass
class Stop:
    """A stop of a process by SIGTERM."""

    at: float
    ended_at: float = float("inf")
    lost: list = field(default_factory=list)  # calls that were not answered
    replaced: list = field(default_factory=list)  # calls answered while their server was at work


class Judge:
    """Records calls and faults of one seed and reports violations of the rules."""

    def __init__(self, clock):
        self.clock = clock
        self.violations = []
        self.runs = {}  # call: [(time, server name, process)]
        self.sent = {}  # call: (time, process, is safe)
        self.deadlines = {}  # call: time at which its caller gives up
        self.working = {}  # call: runs that have not ended
        self.work_ended_at = {}  # call: end of its last run
        self.broken_off = set()  # calls whose server ended the connection
        self.server_status = {}  # call: status that the server sent
        self.reported_not_run = set()  # calls whose answer says that they did not run
        self.leaving_since = {}  # server name: when its leaving was first accepted
        self.leaving_again_since = {}  # server name: when it was accepted after a restore
        self.known_leaving = {}  # server name: processes that knew it before a restore
        self.restored_at = -1e9  # end of the last outage that ended with an older copy of the store
        self.announced_at = {}  # (server name, process): first answer passed on with its leaving
        self.evacuated_since = {}  # zone: when its evacuation was accepted
        self.cold_until = {}  # server name: end of its cold spell
        self.cold_requests = {}  # server name: [(arrived at, sent by the caller at)]
        self.pauses = {}  # (server name, process): [begin, end, arrivals]
        self.disturbed_at = {}  # process: time of its last disturbance
        self.all_disturbed_at = -1e9  # last disturbance of all processes
        self.harmed_at = {}  # process, or None for all: last disturbance that excuses a loss
        self.server_harmed_at = {}  # server name: last fault on its link
        self.stops = {}  # process: its stop that has not ended
        self.ended_stops = []
        self.arrivals = []  # (time, is first run of its call)
        self.lost = {}  # process: calls whose connection was closed without an answer
        self.answer_counts = {}  # status or "closed": count
        self.timeouts = 0  # calls to undisturbed processes that timed out
        self.local_failures = []  # (call, process) of failures created by the process

    def report_violation(self, rule, text):
        if sum(v["rule"] == rule for v in self.violations) < MAX_VIOLATIONS:
            self.violations.append({"rule": rule, "at": round(self.clock(), 3), "text": text})

    def record_disturbance(self, process=None, excuses_loss=True):
        if excuses_loss:
            self.harmed_at[process] = self.clock()
        for notices in (self.announced_at, self.pauses):
            for key in [key for key in notices if process in (None, key[1])]:
                del notices[key]
        if process is None:
            self.all_disturbed_at = self.clock()
        else:
            self.disturbed_at[process] = self.clock()

    def is_undisturbed(self, process, since):
        """Returns whether there was no disturbance from STABLE_SECONDS before since until now."""
        return self._is_calm_but_for_restore(process, since) \
            and self.restored_at < since - STABLE_SECONDS

    def _is_calm_but_for_restore(self, process, since):
        last = max(self.disturbed_at.get(process, -1e9), self.all_disturbed_at)
        return last < since - STABLE_SECONDS

    def is_bound(self, process, accepted_at, sent_at, seconds):
        """Returns whether a request had to be handled by what was accepted seconds before."""
        if sent_at <= accepted_at + seconds:
            return False
        if accepted_at > self.restored_at:
            return sent_at > self.restored_at + STABLE_SECONDS \
                and self._is_calm_but_for_restore(process, accepted_at)
        return self.is_undisturbed(process, accepted_at)

    def record_restore_begin(self, processes):
        """Records an outage from which the store will come back with an older copy."""
        now = self.clock()
        for server, since in self.leaving_since.items():
            if now > since + LEAVING_SECONDS:
                self.known_leaving.setdefault(server, set()).update(
                    p for p in processes if self.is_undisturbed(p, since))
        self.restored_at = now

    def record_restore_end(self):
        self.restored_at = self.clock()

    def record_leaving(self, server):
        """Records that the store has accepted that a server leaves."""
        self.leaving_since.setdefault(server, self.clock())

    def record_leaving_again(self, server):
        self.leaving_again_since[server] = self.clock()

    def record_server_disturbance(self, servers):
        """Records a fault on the links of servers, where any process may have a call."""
        for name in servers:
            self.server_harmed_at[name] = self.clock()
        self.record_disturbance(excuses_loss=False)

    def record_stop(self, process):
        self.record_disturbance(process, excuses_loss=False)
        if process not in self.stops:
            self.stops[process] = Stop(self.clock())

    def record_restart(self, process, is_planned):
        self.record_disturbance(process, excuses_loss=not is_planned)
        for processes in self.known_leaving.values():
            processes.discard(process)
        if stop := self.stops.pop(process, None):
            stop.ended_at = self.clock()
            self.ended_stops.append((process, stop))

    def record_sent(self, call, process, is_safe, deadline):
        self.sent[call] = (self.clock(), process, is_safe)
        self.deadlines[call] = self.clock() + deadline

    def record_pause(self, call, server, answered_at, seconds):
        """Records that a process has received a rejection of a call that asks for a pause."""
        if call not in self.sent:
            return
        begin, end, arrivals = self.pauses.get((server, self.sent[call][1]), (0.0, 0.0, 0))
        if answered_at > end:
            begin, arrivals = answered_at + PAUSE_BEGIN_SECONDS, 0
        self.pauses[server, self.sent[call][1]] = [begin, max(end, answered_at + seconds), arrivals]

    def record_arrival(self, call, server):
        """Checks an arrival against what the server has told its process."""
        if call not in self.sent:
            return
        now, (at, process, _) = self.clock(), self.sent[call]
        told_at = self.announced_at.get((server, process))
        if told_at is not None and at > told_at + LEAVING_SECONDS:
            self.report_violation("DRAIN", f"{call} from {process} reached {server}, which had told "
                                           f"it {now - told_at:.3f} s before that it leaves")
        pause = self.pauses.get((server, process))
        if pause is not None and pause[0] < now < pause[1]:
            pause[2] += 1
            if pause[2] > PAUSE_ARRIVALS:
                self.report_violation("BUDGET", f"{call} from {process} reached {server}, the "
                                                f"{pause[2]}th in its pause")

    def record_cold(self, server, until):
        self.cold_until[server] = until
        self.cold_requests[server] = []

    def record_request(self, call, server):
        """Checks a request that is meant for the server against its zone and its cold spell."""
        if call not in self.sent:
            return
        now, (at, process, _) = self.clock(), self.sent[call]
        since = self.evacuated_since.get(server.zone)
        if since is not None and now > since + EVACUATION_SECONDS \
                and self.is_undisturbed(process, at):
            self.report_violation("EVAC", f"{call} from {process} reached {server.name} in "
                                          f"{server.zone} {now - since:.3f} s after its evacuation")
        if now >= self.cold_until.get(server.name, 0.0):
            return
        requests = self.cold_requests[server.name]
        requests.append((now, at))
        count = sum(arrived > now - 1.0 and sent > now - 1.0 for arrived, sent in requests)
        if count > COLD_PER_SECOND * COLD_OVERSHOOT + COLD_SLACK:
            self.report_violation("FAILBACK", f"{count} requests in a second at {server.name}, "
                                              f"cold for {self.cold_until[server.name] - now:.3f} s")

    def record_run(self, call, server, request):
        now = self.clock()
        if call not in self.sent:
            return self.report_violation("UNASKED", f"{call} at {server.name}")
        at, process, is_safe = self.sent[call]
        if "authorization" in request.fields or request.fields.get("tenant") != workspace_of(call):
            self.report_violation("UNASKED", f"{call} from {process} ran with its key, or for "
                                             f"workspace {request.fields.get('tenant')}")
        earlier_runs = self.runs.setdefault(call, [])
        self.arrivals.append((now, not earlier_runs))
        earlier_runs.append((now, server.name, process))
        self.working[call] = self.working.get(call, 0) + 1
        if not is_safe and len(earlier_runs) > 1:
            self.report_violation("TWICE", f"{call} ran at {earlier_runs}")
        if not is_safe and call in self.reported_not_run:
            self.report_violation(
                "REFUSED", f"{call} runs at {server.name} after it was reported as not run")
        self._check_leaving(call, server.name)
        if "deadline-milliseconds" not in request.fields:
            self.report_violation("BUDGET", f"{call} has no deadline")

    def _check_leaving(self, call, server):
        now, (at, process, _) = self.clock(), self.sent[call]
        for accepted in (self.leaving_since.get(server), self.leaving_again_since.get(server)):
            if accepted is not None and self.is_bound(process, accepted, at, LEAVING_SECONDS):
                return self.report_violation("DRAIN", f"{call} from {process} reached {server} "
                                                      f"{now - accepted:.3f} s after it left"
                                                      f"{self.after_restore(accepted)}")
        if process in self.known_leaving.get(server, ()) \
                and at > self.leaving_since[server] + LEAVING_SECONDS:
            self.report_violation("DRAIN", f"{call} from {process} reached {server}, which it knew "
                                           "as leaving before the store went back")
        return None

    def after_restore(self, accepted_at):
        """Returns a note on how long after the last restore something was accepted."""
        if not 0 < accepted_at - self.restored_at < 1e6:
            return ""
        return f", accepted {accepted_at - self.restored_at:.3f} s after the store came back"

    def record_work_end(self, call):
        self.working[call] -= 1
        self.work_ended_at[call] = self.clock()

    def record_broken_off(self, call):
        self.broken_off.add(call)

    def record_end(self, call, status):
        self.server_status[call] = status

    def _is_server_at_fault(self, call):
        """Returns whether a server broke off the call or had a fault on its link."""
        since = self.sent[call][0] - STABLE_SECONDS
        return call in self.broken_off or any(self.server_harmed_at.get(name, -1e9) >= since
                                              for _, name, _ in self.runs.get(call, []))

    def _stop_around(self, call, process):
        """Returns the stop around which a call that ends now may not be lost, or None."""
        now, at = self.clock(), self.sent[call][0]
        stop = self.stops.get(process) or next(
            (s for p, s in reversed(self.ended_stops) if p == process), None)
        if stop is None or at > stop.ended_at or now > stop.at + GRACE_SECONDS + STOP_END_SECONDS:
            return None
        harmed_at = max(self.harmed_at.get(process, -1e9), self.harmed_at.get(None, -1e9))
        if call not in self.runs or now >= self.deadlines[call] \
                or harmed_at >= at - STABLE_SECONDS or self._is_server_at_fault(call):
            return None
        worked_until = now if self.working[call] else self.work_ended_at[call]
        if at <= stop.at + LATE_REQUEST_SECONDS \
                and worked_until >= stop.at + GRACE_SECONDS - LAST_WORK_SECONDS:
            return None
        return stop

    def record_pipeline_closed(self, calls, process):
        """Records the calls that were unanswered when their connection was closed.

        A server that breaks off an answer ends the connection for the calls behind it."""
        if self._is_server_at_fault(calls[0]):
            return
        for call in calls:
            self.record_answer(call, process, None, "", b"")

    def check_closed(self, call, process):
        """Checks a call whose connection ended without an answer. Only a close that crossed the
        request is allowed; a process that was held up is not excused."""
        now, at = self.clock(), self.sent[call][0]
        harmed_at = max(self.harmed_at.get(process, -1e9), self.harmed_at.get(None, -1e9))
        if at + CLOSE_SLACK_SECONDS < now < self.deadlines[call] \
                and harmed_at < at - STABLE_SECONDS and not self._is_server_at_fault(call):
            self.report_violation("LOST", f"{call} was sent to {process}, which closed the "
                                          f"connection {now - at:.3f} s later, without an answer")

    def record_answer(self, call, process, answer, signature, body):
        """Records the answer that a caller received; None when the connection was closed."""
        at, _, is_safe = self.sent[call]
        status = answer.status if answer else "closed"
        self.answer_counts[status] = self.answer_counts.get(status, 0) + 1
        if answer is None:
            if stop := self._stop_around(call, process):
                stop.lost.append(call)
            if call in self.runs and self.is_undisturbed(process, at):
                self.lost.setdefault(process, []).append(call)
            return
        if answer.fields.get("server-leaving") == "1" and call in self.runs:
            server = self.runs[call][-1][1]
            self.announced_at.setdefault((server, process), self.clock())
        if status >= 500 and "response-signature" not in answer.fields:
            self.local_failures.append((call, process))
            if status in (502, 504) and self.working.get(call) \
                    and (stop := self._stop_around(call, process)):
                stop.replaced.append(call)
        if status == 401:
            self.report_violation("DENIED", f"{call} from {process} got 401")
        if not 100 <= status < 600:
            self.report_violation("MIXED", f"{call} from {process} got status {status}")
        if status // 100 == 2:
            if answer.fields.get("response-signature") != signature or answer.body != body:
                self.report_violation("MIXED", f"{call} from {process} got another body")
            elif call not in self.server_status:
                self.report_violation(
                    "MIXED", f"{call} was answered, but no server has finished it")
        if status in NOT_RUN and not is_safe:
            self.reported_not_run.add(call)
            if call in self.runs:
                self.report_violation("REFUSED", f"{call} got {status} from {process}, but ran")

    def record_timeout(self, call, process):
        at = self.sent[call][0]
        if self.is_undisturbed(process, at):
            self.timeouts += 1

    def check_totals(self, calls):
        """Checks the bounds on lost calls, timeouts and retries of the whole run."""
        for process, stop in self.ended_stops + list(self.stops.items()):
            if stop.lost or stop.replaced:
                last = max(self.sent[call][0] for call in stop.lost + stop.replaced) - stop.at
                self.report_violation(
                    "LOST", f"{process} stopped at {stop.at:.3f} and lost {stop.lost}, replaced "
                            f"{stop.replaced}, the last sent {last:.3f} s after the signal")
        for process, lost in self.lost.items():
            if len(lost) > LOST_ALLOWED:
                self.report_violation(
                    "LOST", f"{process} dropped {len(lost)} calls, first {lost[0]}")
        if self.timeouts > max(8, calls // 100):
            self.report_violation("CONFIG", f"{self.timeouts} calls had no answer at their timeout")
        self._check_budget()

    def check_failures_logged(self, logged):
        """Checks that each failure created by a process is in its log, by the id of the call.

        Processes that were killed are not checked, as their logs may lack the last lines."""
        for call, process in self.local_failures:
            if process in logged and call not in logged[process]:
                self.report_violation(
                    "UNEXPLAINED", f"{call} failed at {process} without a line in its log")

    def _check_budget(self):
        """Checks the retry budget in the BUDGET_SECONDS before each repeated run."""
        requests = [at for at, _, _ in self.sent.values()]
        repeats = [at for at, is_first in self.arrivals if not is_first]
        for end in repeats:
            start = end - BUDGET_SECONDS
            repeat_count = sum(start <= at <= end for at in repeats)
            request_count = sum(start <= at <= end for at in requests)
            if repeat_count > RETRY_RATIO * request_count + RETRY_SLACK:
                return self.report_violation(
                    "BUDGET", f"{repeat_count} repeats for {request_count} requests")
        return None
