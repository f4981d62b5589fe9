package entry

import (
	"context"
	"time"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// tellInterval is how often records are looked through for those to tell again: a session may have been down when they were told.
const tellInterval = 500 * time.Millisecond

// tellCrashes tells sides of requests under which targets have crashed, until ctx ends. Sides pass that on to the other entries.
func (e *Entry) tellCrashes(ctx context.Context) {
	look := sleep.NewTimer(tellInterval)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.quarantine.Changed():
		case <-look.C:
		}
		look.Reset(tellInterval)
		for list := e.quarantine.DueForPeers(); len(list) > 0; list = e.quarantine.DueForPeers() {
			e.sendCrashes(list)
		}
	}
}

func (e *Entry) sendCrashes(list []quarantine.Record) {
	frame := &structs.Crashes{}
	for _, r := range list {
		data, err := r.Encode()
		if err != nil {
			e.log.Error("crash not told", "content", r.Content.String(), "error", err)
			continue
		}
		frame.Records = append(frame.Records, data)
	}
	for _, s := range e.pool.sessions() {
		_ = s.conn.Send(&structs.Frame{Crashes: frame}) // a session that has ended is handled by its end
	}
}

// learnCrashes takes in what a side passes on.
func (s *sideSession) learnCrashes(frame *structs.Crashes) {
	var list []quarantine.Record
	for _, data := range frame.Records {
		r, err := quarantine.Decode(data)
		if err != nil {
			s.pool.log.Warn("crash of a target left out", "side", s.host, "error", err)
			continue
		}
		list = append(list, r)
	}
	s.pool.crashes.ApplyRecords(list)
}
