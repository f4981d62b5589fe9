package serving

// Target is one start of a program that serves requests of a service. A restart is a new target, also under the same
// name and at the same address: nothing that is known of the one before holds for it.
type Target struct {
	ID       string // names this start
	Name     string // under which it is listed; a restart may have it again
	Started  int64  // in milliseconds since 1970; 0 is not known
	Service  string
	Addr     string // IP:port
	Domain   string // failure domain
	Slots    int    // requests that it works on at once
	Draining bool   // it leaves: it gets nothing new
}
