package side

import (
	"fmt"
	"sync"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/structs"
)

// crashes are the records of requests under which targets have crashed, as entries tell them. A side passes them on to the other entries,
// and to those that connect later.
type crashes struct {
	// incarnation tells the starts of the target that this process has seen from those that others have.
	incarnation int64

	mu       sync.Mutex
	registry *quarantine.Registry
	// seen is how many crashes of the target were seen, last when the newest was.
	seen int
	last time.Time
}

func newCrashes(now time.Time) *crashes {
	return &crashes{incarnation: now.UnixMilli(), registry: quarantine.NewRegistry(quarantine.Options{Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold})}
}

// startOf names the start of the target that has crashed under a run that began at a time. Runs that began before the newest crash that
// is known were at the same start.
func (c *crashes) startOf(target structs.TargetID, began, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == 0 || began.After(c.last) {
		c.seen++
		c.last = now
	}
	return fmt.Sprintf("%s/%d/%d", target, c.incarnation, c.seen)
}

// take takes in what an entry tells. It returns the records that say something new. Error: errs.BadFrame.
func (c *crashes) take(now time.Time, frame *structs.Crashes) (news [][]byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Expire(now)
	for _, data := range frame.Records {
		r, err := quarantine.Decode(data)
		if err != nil {
			return news, err
		}
		if c.registry.ApplyPeer(now, r, now) {
			news = append(news, data)
		}
	}
	return news, nil
}

// all returns what is known, encoded.
func (c *crashes) all() ([][]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list [][]byte
	for _, r := range c.registry.Records() {
		data, err := r.Encode()
		if err != nil {
			return list, err
		}
		list = append(list, data)
	}
	return list, nil
}

// shareCrashes takes in an entry's records and passes the new ones on to the others.
func (s *Side) shareCrashes(from *peer, frame *structs.Crashes) error {
	news, err := s.crashes.take(time.Now(), frame)
	if len(news) > 0 {
		for _, p := range s.peers.all() {
			if p != from {
				p.send(&structs.Frame{Crashes: &structs.Crashes{Records: news}})
			}
		}
	}
	return err
}

// tellCrashes sends an entry that has connected all that is known.
func (s *Side) tellCrashes(p *peer) {
	list, err := s.crashes.all()
	if err != nil {
		s.log.Error("crashes not told", "entry", p.host, "error", err)
	}
	if len(list) > 0 {
		p.send(&structs.Frame{Crashes: &structs.Crashes{Records: list}})
	}
}
