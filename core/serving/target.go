package serving

// Target is one start of a program that serves requests of a service. A restart is a new target, even under
// the same name and at the same address, because nothing recorded about the previous start applies to it.
type Target struct {
	ID         string // identifies this start
	Name       string // name in the list of targets; a restart may have it again
	StartedMs  int64  // time of the start in milliseconds since 1970; 0 if unknown
	Service    string
	Addr       string // IP:port
	Domain     string // failure domain
	Slots      int    // number of requests that it processes at once
	IsDraining bool   // the target is being removed and gets no new requests
}
