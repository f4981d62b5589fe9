package fairshare

import "time"

// bucketCount is the number of buckets of a window. With 8 of them the oldest work leaves the window at most an
// eighth of the window late.
const bucketCount = 8

// ring holds work in seconds by bucket.
type ring [bucketCount]float32

func (r *ring) add(bucket int64, work time.Duration) {
	r[bucket%bucketCount] += float32(work.Seconds())
}

// takeBack reduces the work in a bucket, to 0 at least.
func (r *ring) takeBack(bucket int64, work time.Duration) {
	r[bucket%bucketCount] = max(0, r[bucket%bucketCount]-float32(work.Seconds()))
}

// sum returns the work in all buckets.
func (r *ring) sum() float64 {
	sum := float32(0)
	for _, work := range r {
		sum += work
	}
	return float64(sum)
}

// account is the work of a workspace at a service of this gateway.
type account struct {
	name            string
	bucket          int64 // the newest bucket with work; see service.bucketOf
	offered, served ring
	credit          float32 // requests over the share that may be admitted; see Ledger.Admit
	higherRanks     uint8   // the largest number of more urgent ranks of its requests so far
	rejected        uint32  // requests rejected by share since the account was created
}

// advance clears the buckets that have left the window by bucket, which is the current one.
func (a *account) advance(bucket int64) {
	if bucket <= a.bucket {
		return
	}
	for b := max(a.bucket+1, bucket-bucketCount+1); b <= bucket; b++ {
		a.offered[b%bucketCount], a.served[b%bucketCount] = 0, 0
	}
	a.bucket = bucket
}

// service is the work at one service.
type service struct {
	since     time.Time // creation; buckets are counted from here
	bucketLen time.Duration
	accounts  map[ID]*account
	peers     map[ID]peerSum
	rest      restSum
	// lastSweep is the bucket in which idle accounts were last dropped.
	lastSweep int64
	// lastWork is the newest bucket with work of this gateway.
	lastWork int64
	div      division
	starts   startDivision
}

// account returns the account of a workspace, which it creates on first use; nil at the bounds of the memory.
func (l *Ledger) account(now time.Time, serviceName, workspace string) (*service, *account) {
	s := l.service(now, serviceName)
	if s == nil {
		return nil, nil
	}
	s.lastWork = max(s.lastWork, s.bucketOf(now))
	id := IDOf(workspace)
	a, ok := s.accounts[id]
	if !ok {
		if len(s.accounts) >= maxWorkspaces {
			return s, nil
		}
		a = &account{name: workspace, bucket: s.bucketOf(now), credit: initialCredit}
		s.accounts[id] = a
	}
	return s, a
}

// service returns a service, which it creates on first use; nil at the bound of the memory.
func (l *Ledger) service(now time.Time, name string) *service {
	s, ok := l.services[name]
	if !ok {
		if len(l.services) >= maxServices {
			return nil
		}
		s = &service{since: now, bucketLen: l.opts.Window / bucketCount, accounts: make(map[ID]*account), peers: make(map[ID]peerSum)}
		l.services[name] = s
	}
	return s
}

// bucketOf returns the bucket of a time: the number of whole buckets since the service was created.
func (s *service) bucketOf(now time.Time) int64 { return max(0, int64(now.Sub(s.since)/s.bucketLen)) }

// span is the time in seconds that the buckets cover: the current one so far and those before it, and at least
// one bucket, so that the first requests after a start don't count as a high rate.
func (s *service) span(now time.Time) float64 {
	elapsed := now.Sub(s.since)
	if elapsed < s.bucketLen {
		return s.bucketLen.Seconds()
	}
	covered := (bucketCount-1)*s.bucketLen + elapsed%s.bucketLen
	return min(elapsed, covered).Seconds()
}

// usage returns the work of a workspace at all gateways.
func (s *service) usage(now time.Time, id ID) Usage {
	u := Usage{Workspace: id, Offered: max(0, s.peers[id].offered), Served: max(0, s.peers[id].served)}
	if a, ok := s.accounts[id]; ok {
		a.advance(s.bucketOf(now))
		u.Offered += a.offered.sum() / s.span(now)
		u.Served += a.served.sum() / s.span(now)
	}
	return u
}

// sweep drops the accounts without work in the window. It does so once in each bucket.
func (s *service) sweep(now time.Time) {
	bucket := s.bucketOf(now)
	if bucket == s.lastSweep {
		return
	}
	s.lastSweep = bucket
	for id, a := range s.accounts {
		if bucket-a.bucket >= bucketCount {
			delete(s.accounts, id)
		}
	}
}
