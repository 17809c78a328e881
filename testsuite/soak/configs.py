"""The operator's configuration in the soak: changes in series, and whether each
is in force in time."""

CONFIG_APPLY_S = 2.0
MAX_ROUTES = 12


class Configs:
    """Versions of the configuration, and the routes that come and go."""

    def __init__(self, base, publish, judge):
        self.base = base
        self.publish = publish
        self.judge = judge
        self.version = 1
        self.routes = []  # prefixes that are configured now, the oldest first
        self.added = {}  # prefix -> when the store had confirmed it
        self.dropped = {}
        self.filler = 0

    def change(self, filler):
        """Adds a route, drops the oldest of too many, and confirms that."""
        self.version += 2
        self.filler = filler
        prefix = f"/r{self.version}/"
        self.routes.append(prefix)
        dropped = self.routes.pop(0) if len(self.routes) > MAX_ROUTES else None
        self.publish(self.document())
        now = self.judge.now()
        self.added[prefix] = now
        if dropped:
            self.dropped[dropped] = now
        self.judge.log(f"config {self.version} confirmed: {prefix} added, "
                       f"{dropped} dropped, {filler} other routes")

    def document(self):
        out = dict(self.base, version=self.version)
        route = self.base["routes"][0]
        others = [f"/other{number}/" for number in range(self.filler)]
        out["routes"] = [route] + [dict(route, name="q" + prefix, prefix=prefix)
                                   for prefix in self.routes + others]
        return out

    def check(self, prefix, host, sent, status):
        """Judges the answer to a question about the queue behind a prefix."""
        since = self.dropped.get(prefix, self.added[prefix])
        is_due = sent > since + CONFIG_APPLY_S
        is_wrong = status == 200 if prefix in self.dropped else status == 404
        if is_due and is_wrong:
            self.judge.violation(
                "CONFIG", f"{prefix} at {host}",
                f"{status} to a request sent at {sent:.3f}, confirmed at "
                f"{since:.3f}")
