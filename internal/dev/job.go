package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/client"
	"arbutusramp/standin/engine"
)

const (
	jobItems   = 200
	itemTokens = 4
	jobKey     = "dev-once-job"
	jobTimeout = 20 * time.Second
	jobPoll    = 50 * time.Millisecond
)

// jobLine is one line of a job's file.
type jobLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

func itemBody(i int) []byte {
	return chatBody(fmt.Sprintf("Summarise the notes of case %d.", i), itemTokens, false)
}

func jobFile() []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for i := range jobItems {
		// A jobLine holds nothing that can't be marshalled, and a buffer takes all.
		_ = enc.Encode(jobLine{CustomID: numbered("case", i), Method: "POST", URL: "/v1/chat/completions", Body: itemBody(i)})
	}
	return b.Bytes()
}

// jobStep submits a job twice with one key, waits for its end, and checks every result
// as the other entry gives it.
func (o *once) jobStep(ctx context.Context) error {
	start := time.Now()
	spec := client.JobSpec{Key: jobKey, DueIn: time.Hour}
	job, err := o.caller(0).SubmitJob(ctx, spec, bytes.NewReader(jobFile()))
	if err != nil {
		return err
	}
	again, err := o.caller(1).SubmitJob(ctx, spec, bytes.NewReader(jobFile()))
	if err != nil {
		return err
	}
	if again.ID != job.ID {
		return errs.Newf(errs.Internal, "the job sent again became %s, not %s", again.ID, job.ID)
	}
	accepted := time.Since(start)
	if err := o.awaitJob(ctx, job); err != nil {
		return err
	}
	if err := o.checkResults(ctx, job); err != nil {
		return err
	}
	o.say("job: %d items, sent twice with one key, accepted once in %s, %d results read at the other entry after %s",
		jobItems, accepted.Round(time.Millisecond), jobItems, time.Since(start).Round(time.Millisecond))
	return nil
}

func (o *once) awaitJob(ctx context.Context, job *client.Job) error {
	var now *client.Job
	var last error
	err := poll(ctx, jobTimeout, jobPoll, func() bool {
		now, last = o.caller(1).Job(ctx, job.ID)
		return last == nil && now.Ended()
	})
	if last != nil {
		return last
	}
	if err != nil {
		return errs.Newf(errs.DeadlineExceeded, "job not ended after %s: %+v", jobTimeout, *now)
	}
	if now.Status != client.JobCompleted || now.Finished != jobItems || now.Failed != 0 {
		return errs.Newf(errs.Internal, "job ended as %+v", *now)
	}
	return nil
}

// checkResults fails unless each item has exactly one result, and the right one.
func (o *once) checkResults(ctx context.Context, job *client.Job) error {
	next := 0
	err := o.caller(1).Results(ctx, job.ID, false, func(line []byte) error {
		var l client.JobLine
		if err := json.Unmarshal(line, &l); err != nil {
			return errs.Newf(errs.Internal, "result %d: %v", next, err)
		}
		if err := checkResult(next, l); err != nil {
			return err
		}
		next++
		return nil
	})
	if err == nil && next != jobItems {
		err = errs.Newf(errs.Internal, "%d results for %d items", next, jobItems)
	}
	return err
}

func checkResult(i int, l client.JobLine) error {
	if l.Error != nil {
		return l.Error
	}
	if l.CustomID != numbered("case", i) || l.Index != i || l.Response == nil {
		return errs.Newf(errs.Internal, "result %d is that of %q, item %d", i, l.CustomID, l.Index)
	}
	var body struct {
		Choices []struct {
			Message chatMessage `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(l.Response.Body, &body); err != nil {
		return errs.Newf(errs.Internal, "result %d: %v", i, err)
	}
	if want := engine.Expect(itemBody(i), itemTokens); len(body.Choices) != 1 || body.Choices[0].Message.Content != want {
		return errs.Newf(errs.Internal, "result %d is %s, want %q", i, l.Response.Body, want)
	}
	return nil
}
