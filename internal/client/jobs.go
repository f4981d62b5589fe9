package client

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const jobsPath = "/v1/batches"

// Job is a batch job as the API shows it.
type Job struct {
	ID              structs.JobID `json:"id"`
	Status          string        `json:"status"`
	Items           int           `json:"items"`
	Finished        int           `json:"finished"`
	Failed          int           `json:"failed"`
	AcceptedMs      int64         `json:"accepted_ms"`
	EndedMs         int64         `json:"ended_ms,omitempty"`
	DueMs           int64         `json:"due_ms,omitempty"`
	ReadableUntilMs int64         `json:"readable_until_ms,omitempty"`
}

// Values of Job.Status that do not change any more.
const (
	JobCompleted = "completed"
	JobCancelled = "cancelled"
)

// Ended reports whether every item of the job has its result.
func (j *Job) Ended() bool { return j.Status == JobCompleted || j.Status == JobCancelled }

// JobSpec is what a job is besides its file.
type JobSpec struct {
	// Key is the idempotency key: a job sent again with the same key is the same job.
	Key   string
	Model structs.ModelID // empty for that of the first line
	DueIn time.Duration   // 0 is any time
}

// SubmitJob sends a file of JSON Lines and returns the accepted job.
func (c *Client) SubmitJob(ctx context.Context, spec JobSpec, file io.Reader) (*Job, error) {
	header := http.Header{"Content-Type": {"application/jsonl"}}
	header.Set("Idempotency-Key", spec.Key)
	if spec.Model != "" {
		header.Set("X-Model", string(spec.Model))
	}
	if spec.DueIn > 0 {
		header.Set("X-Due-By-S", strconv.FormatInt(int64(spec.DueIn/time.Second), 10))
	}
	a, err := c.Call(ctx, http.MethodPost, jobsPath, header, file)
	if err != nil {
		return nil, err
	}
	return decodeJob(a.Body)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id structs.JobID) (*Job, error) {
	return c.jobCall(ctx, http.MethodGet, jobsPath+"/"+string(id))
}

// Jobs returns the workspace's jobs.
func (c *Client) Jobs(ctx context.Context) ([]Job, error) {
	var list struct {
		Data []Job `json:"data"`
	}
	err := c.CallJSON(ctx, http.MethodGet, jobsPath, nil, nil, &list)
	return list.Data, err
}

// CancelJob returns when no item of the job starts any more.
func (c *Client) CancelJob(ctx context.Context, id structs.JobID) (*Job, error) {
	return c.jobCall(ctx, http.MethodPost, jobsPath+"/"+string(id)+"/cancel")
}

func (c *Client) jobCall(ctx context.Context, method, path string) (*Job, error) {
	a, err := c.Call(ctx, method, path, nil, nil)
	if err != nil {
		return nil, err
	}
	return decodeJob(a.Body)
}

func decodeJob(body []byte) (*Job, error) {
	var j Job
	if err := json.Unmarshal(body, &j); err != nil {
		return nil, wrap(err, "job")
	}
	return &j, nil
}

// JobLine is one result of a job.
type JobLine struct {
	CustomID string      `json:"custom_id"`
	Index    int         `json:"index"`
	Response *JobAnswer  `json:"response"`
	Error    *errs.Error `json:"error"`
}

// JobAnswer is the target's answer to an item.
type JobAnswer struct {
	Status int             `json:"status_code"`
	Body   json.RawMessage `json:"body"`
}

// maxLine bounds one line of results, bytes.
const maxLine = 64 << 20

// Results calls each with the lines of a job's results in item order, or of its
// errors only. The error of a list that was not whole is an *errs.Error.
func (c *Client) Results(ctx context.Context, id structs.JobID, errorsOnly bool, each func(line []byte) error) error {
	path := jobsPath + "/" + string(id) + "/results"
	if errorsOnly {
		path = jobsPath + "/" + string(id) + "/errors"
	}
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if err := brokenOff(lines.Bytes()); err != nil {
			return err
		}
		if err := each(lines.Bytes()); err != nil {
			return err
		}
	}
	return wrap(lines.Err(), path)
}

// brokenOff returns the error of a line that says that the list is not whole. Such a
// line has an error and none of a result's fields.
func brokenOff(line []byte) error {
	var l struct {
		Index *int        `json:"index"`
		Error *errs.Error `json:"error"`
	}
	if err := json.Unmarshal(line, &l); err != nil {
		return wrap(err, "line of results")
	}
	if l.Index == nil && l.Error != nil {
		return l.Error
	}
	return nil
}
