"""Compares what callers were told with what the servers ran.

A process counts as in touch while nothing has been done to it, to its way to the
store or to the store itself for STABLE_SECONDS; rules with a time bound hold only
then. When this program itself stands still, nothing counts as in touch."""

STABLE_SECONDS = 3.0
LEAVING_SECONDS = 2.0
CONFIG_SECONDS = 2.0
TIMEOUT_SLACK_SECONDS = 0.5
RETRY_RATIO = 0.2
RETRY_SLACK = 58
BUDGET_SECONDS = 10.0
LOST_ALLOWED = 3
STALL_SECONDS = 0.15
MOST_FAULTS = 20  # more of them say nothing new
NOT_RUN = (408, 421, 429, 503)


class Judge:
    def __init__(self, clock):
        self.clock = clock
        self.faults = []
        self.runs = {}        # call: [(time, server name, process)]
        self.sent = {}        # call: (time, process, is safe)
        self.ends = {}        # call: status that the server gave
        self.promised = set() # calls told not to have run
        self.left = {}        # server name: when its leaving was accepted
        self.disturbed = {}   # process: last moment of a disturbance
        self.all_disturbed = -1e9
        self.arrivals = []    # (time, is first)
        self.lost = {}        # process: connections ended without an answer
        self.told = {}        # status or "closed": count
        self.held = 0
        self.refused = []     # (call, process) that got a failure of the process

    def fault(self, rule, text):
        if len(self.faults) < MOST_FAULTS:
            self.faults.append({"rule": rule, "at": round(self.clock(), 3), "text": text})

    def disturb(self, process=None):
        if process is None:
            self.all_disturbed = self.clock()
        else:
            self.disturbed[process] = self.clock()

    def in_touch(self, process, since):
        """Undisturbed from STABLE_SECONDS before a moment until now."""
        last = max(self.disturbed.get(process, -1e9), self.all_disturbed)
        return last < since - STABLE_SECONDS

    def note_sent(self, call, process, is_safe):
        self.sent[call] = (self.clock(), process, is_safe)

    def note_run(self, call, server, request):
        now = self.clock()
        if call not in self.sent:
            return self.fault("UNASKED", f"{call} at {server.name}")
        at, process, is_safe = self.sent[call]
        before = self.runs.setdefault(call, [])
        self.arrivals.append((now, not before))
        before.append((now, server.name, process))
        if not is_safe and len(before) > 1:
            self.fault("TWICE", f"{call} ran at {before}")
        if not is_safe and call in self.promised:
            self.fault("REFUSED", f"{call} runs at {server.name} after a promise")
        left = self.left.get(server.name)
        if left is not None and at > left + LEAVING_SECONDS and self.in_touch(process, left):
            self.fault("DRAIN", f"{call} from {process} reached {server.name} "
                                f"{now - left:.3f} s after it left")
        if "deadline-milliseconds" not in request.fields:
            self.fault("BUDGET", f"{call} has no deadline")

    def note_end(self, call, status):
        self.ends[call] = status

    def note_answer(self, call, process, answer, signature, body):
        """What the caller was told; None when the connection just ended."""
        at, _, is_safe = self.sent[call]
        status = answer.status if answer else "closed"
        self.told[status] = self.told.get(status, 0) + 1
        if answer is None:
            if call in self.runs and self.in_touch(process, at):
                self.lost.setdefault(process, []).append(call)
            return
        if status >= 500 and "response-signature" not in answer.fields:
            self.refused.append((call, process))
        if status // 100 == 2:
            if answer.fields.get("response-signature") != signature or answer.body != body:
                self.fault("MIXED", f"{call} from {process} got another body")
            elif call not in self.ends:
                self.fault("MIXED", f"{call} was answered, but no server has ended it")
        if status in NOT_RUN and not is_safe:
            self.promised.add(call)
            if call in self.runs:
                self.fault("REFUSED", f"{call} got {status} from {process}, but ran")

    def note_unanswered(self, call, process):
        at = self.sent[call][0]
        if self.in_touch(process, at):
            self.held += 1

    def finish(self, calls):
        for process, lost in self.lost.items():
            if len(lost) > LOST_ALLOWED:
                self.fault("LOST", f"{process} dropped {len(lost)} calls, first {lost[0]}")
        if self.held > max(8, calls // 100):
            self.fault("CONFIG", f"{self.held} calls had no answer at their timeout")
        self._check_budget()

    def check_explained(self, logged):
        """Each failure that a process made up must be in its log, by the id of
        the call. Logs of processes that were killed may lack their last lines."""
        for call, process in self.refused:
            if process in logged and call not in logged[process]:
                self.fault("UNEXPLAINED", f"{call} failed at {process} without a line")

    def _check_budget(self):
        requests = [at for at, _, _ in self.sent.values()]
        repeats = [at for at, is_first in self.arrivals if not is_first]
        for end in repeats:
            start = end - BUDGET_SECONDS
            made = sum(start <= at <= end for at in repeats)
            asked = sum(start <= at <= end for at in requests)
            if made > RETRY_RATIO * asked + RETRY_SLACK:
                return self.fault("BUDGET", f"{made} repeats for {asked} requests")
        return None
