package side

import (
	"context"

	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// partBytes is the size of one Data frame of a plain service's answer.
const partBytes = 32 << 10

// relay sends a whole answer under the stream's credit and ends the stream.
func (c *call) relay(g *guard, a *platform.ServiceAnswer) {
	if !c.beginRelay() {
		c.end(c.why().WithRan(errs.RanYes), 0)
		return
	}
	g.stall()
	c.sendHead(a.Status, a.Headers)
	parts, err := c.sendBody(g.ctx, a.Body)
	if err != nil {
		c.end(errs.As(err).WithRan(errs.RanYes), parts)
		return
	}
	c.end(nil, parts)
}

// replay answers with the answer of the first run of the call's key. It runs
// in a goroutine of its own only if the credit does not cover the answer.
func (c *call) replay(a *dedup.Answer) {
	if a.Err != nil {
		c.finish(&structs.End{Err: a.Err, Replayed: true})
		return
	}
	g := c.begin()
	if g == nil || !c.beginRelay() {
		c.end(c.why().WithRan(errs.RanYes), 0)
		return
	}
	c.sendHead(a.Status, a.Headers)
	if len(a.Body) <= c.open.Credit {
		c.replayBody(g, a)
		return
	}
	go c.replayBody(g, a)
}

func (c *call) replayBody(g *guard, a *dedup.Answer) {
	defer g.stop()
	g.stall()
	parts, err := c.sendBody(g.ctx, a.Body)
	if err != nil {
		c.end(errs.As(err).WithRan(errs.RanYes), parts)
		return
	}
	c.finish(&structs.End{Parts: parts, Replayed: true})
}

func (c *call) sendHead(status int, headers []structs.Header) {
	c.peer.send(&structs.Frame{
		Stream: c.stream,
		Head:   &structs.Head{Status: status, Headers: headers, Target: c.s.target.ID},
	})
}

// sendBody sends body in parts and returns how many were sent.
func (c *call) sendBody(ctx context.Context, body []byte) (int, error) {
	parts := 0
	for len(body) > 0 {
		n := min(len(body), partBytes)
		if err := c.window.take(ctx, n); err != nil {
			return parts, err
		}
		c.sendData(parts, body[:n])
		body = body[n:]
		parts++
	}
	return parts, nil
}

func (c *call) sendData(seq int, payload []byte) {
	c.peer.send(&structs.Frame{Stream: c.stream, Data: &structs.Data{Seq: seq, Payload: payload}})
}
