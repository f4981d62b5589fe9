package settings

import (
	"time"

	"arbutusramp/core/structs"
)

func sideTable() table[Side] {
	rows := hostRows("side", func(s *Side) *Identity { return &s.Host })
	rows = append(rows, logRows(func(s *Side) *Logs { return &s.Logs })...)
	rows = append(rows, sideListenRows()...)
	rows = append(rows, targetRows()...)
	rows = append(rows, admissionRows()...)
	rows = append(rows, retiredPeerRows(func(s *Side) *[]string { return &s.RetiredPeerKeys })...)
	return table[Side]{
		role:   "side",
		rows:   rows,
		groups: []group[Side]{peerKeyGroup(func(s *Side) *[]PeerKey { return &s.PeerKeys })},
		check:  checkSide,
	}
}

func sideListenRows() []row[Side] {
	return []row[Side]{
		{section: "listen", key: "sessions", unit: "address", required: true,
			field: addr(func(s *Side) *string { return &s.SessionAddr }),
			doc:   "sessions of entries; the host list gives this address"},
		{section: "listen", key: "status", unit: "address", required: true,
			field: addr(func(s *Side) *string { return &s.StatusAddr }),
			doc:   "/healthz, /readyz and /metrics"},
	}
}

func targetRows() []row[Side] {
	return []row[Side]{
		{section: "target", key: "id", unit: "name", required: true,
			field: name(func(s *Side) *structs.TargetID { return &s.Target.ID }),
			doc:   "name of the target, unique in the system"},
		{section: "target", key: "kind", unit: "word", required: true,
			field: kindField(),
			doc:   "model engine or plain service"},
		{section: "target", key: "url", unit: "URL", required: true,
			field: baseURL(func(s *Side) *string { return &s.TargetURL }),
			doc:   "where the target answers"},
		{section: "target", key: "models", unit: "names",
			field: names(func(s *Side) *[]structs.ModelID { return &s.Target.Models }),
			doc:   "models that an engine serves from its start"},
		{section: "target", key: "service", unit: "name",
			field: name(func(s *Side) *structs.ServiceID { return &s.Target.Service }),
			doc:   "which plain service the target is part of"},
		{section: "target", key: "checks_fence", unit: "boolean", def: "false",
			field: boolean(func(s *Side) *bool { return &s.Target.ChecksFence }),
			doc:   "the target refuses orders with an old fencing number; where it does not, the side does"},
		{section: "target", key: "answer_timeout", unit: "duration", def: "10s",
			field: duration(100*time.Millisecond, time.Hour, func(s *Side) *time.Duration { return &s.TargetBudget }),
			doc:   "a target that gives no byte of a started request for so long counts as hanging"},
	}
}

func kindField() field[Side] {
	f := oneOf(setKind, "engine", "service")
	f.value = func(s *Side) any { return s.Target.Kind }
	return f
}

func setKind(s *Side, value string) {
	s.Target.Kind = structs.KindEngine
	if value == "service" {
		s.Target.Kind = structs.KindService
	}
}

func admissionRows() []row[Side] {
	return []row[Side]{
		{section: "admission", key: "max_limit", unit: "requests", def: "256",
			field: integer(1, 65536, func(s *Side) *int { return &s.MaxLimit }),
			doc:   "upper bound of the concurrency limit that the side finds for the target"},
		{section: "admission", key: "max_queue", unit: "requests", def: "512",
			field: integer(0, 65536, func(s *Side) *int { return &s.MaxQueue }),
			doc:   "online requests that may wait at the side; more are refused with overloaded"},
		{section: "admission", key: "headroom", unit: "share", def: "0.5",
			field: ratio(func(s *Side) *float64 { return &s.Headroom }),
			doc:   "0: most batch throughput, 1: least harm to the online tail; holds until configuration says otherwise"},
		{section: "admission", key: "load_every", unit: "duration", def: "50ms",
			field: duration(5*time.Millisecond, 5*time.Second, func(s *Side) *time.Duration { return &s.LoadEvery }),
			doc:   "load is sent to entries on change, this often at most"},
		{section: "admission", key: "key_window", unit: "duration", def: defaultKeyWindow,
			field: duration(minKeyWindow, maxKeyWindow, func(s *Side) *time.Duration { return &s.KeyWindow }),
			doc:   "how long idempotency keys of non-idempotent requests are remembered; must be the same on every entry and side"},
		{section: "admission", key: "drain_timeout", unit: "duration", def: "5m",
			field: duration(time.Second, time.Hour, func(s *Side) *time.Duration { return &s.DrainTimeout }),
			doc:   "how long a planned stop waits for requests at the target at most"},
	}
}

func checkSide(s *Side) []Fault {
	return append(checkTarget(s), checkPeerKeys(s.PeerKeys, s.RetiredPeerKeys)...)
}

func checkTarget(s *Side) []Fault {
	switch {
	case s.Target.Kind == structs.KindEngine && len(s.Target.Models) == 0:
		return []Fault{{Section: "target", Key: "models", Problem: "missing", Allowed: "at least one for kind = engine"}}
	case s.Target.Kind == structs.KindEngine && s.Target.Service != "":
		return []Fault{{Section: "target", Key: "service", Problem: "set for an engine", Allowed: "only with kind = service"}}
	case s.Target.Kind == structs.KindService && s.Target.Service == "":
		return []Fault{{Section: "target", Key: "service", Problem: "missing", Allowed: "a name for kind = service"}}
	case s.Target.Kind == structs.KindService && len(s.Target.Models) > 0:
		return []Fault{{Section: "target", Key: "models", Problem: "set for a plain service", Allowed: "only with kind = engine"}}
	}
	return nil
}
