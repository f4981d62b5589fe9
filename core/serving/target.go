package serving

// Origin is the software that began a stream. The stream can only go on at targets of the same service and version.
type Origin struct {
	Service string
	Version string // Target.Version of the target that sent the first event
}

// Target is one run of a program that serves requests of a service. A restart creates a new target, even with
// the same name and address, because nothing recorded about the previous run applies to it.
type Target struct {
	ID        string // identifies this run
	Name      string // name of its entry in the list of targets; a restarted target may reuse it
	StartedMs int64  // start of this run in milliseconds since 1970; 0 if unknown
	Service   string
	Addr      string // IP:port
	Domain    string // failure domain
	Slots     int    // number of requests that it processes at once
	// Version is the version of its software. Answers of two versions don't fit together: a stream can only go on at
	// a target with the version that began it.
	Version    string
	IsDraining bool // the target is being removed and gets no new requests
}
