package serving

// Target is one running instance that serves requests of a service. A restart is a new target,
// also at the same address.
type Target struct {
	ID       string
	Service  string
	Addr     string // IP:port
	Domain   string // failure domain
	Slots    int    // requests that it works on at once
	Draining bool   // it leaves: it gets nothing new
}
