//go:build review

package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Item is an item of a batch job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// Client makes the calls about batch jobs, each on a new channel.
type Client struct {
	Host   string
	Record *Record
	http   http.Client
}

// NewClient returns a client of the routes of a host that waits up to timeout for an answer.
func NewClient(host string, record *Record, timeout time.Duration) *Client {
	return &Client{Host: host, Record: record, http: http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call makes a call and returns the status and the body of its answer; status 0 stands for no answer.
func (c *Client) call(method, addr, path, id string, body []byte, header map[string]string) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.GetBody = nil // the HTTP client must not repeat a call by itself
	req.Host = c.Host
	req.Header.Set(names.RequestID, id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.Record.Add("%s %s of %s at %s: no answer: %v", method, path, id, addr, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Record.Add("%s %s of %s at %s: answer broken off: %v", method, path, id, addr, err)
		return 0, nil
	}
	return resp.StatusCode, data
}

// Submit submits a batch job and returns the status of the answer.
func (c *Client) Submit(addr, path, job string, items []Item) int {
	body, _ := json.Marshal(map[string]any{"items": items}) // items can always be encoded
	status, _ := c.call(http.MethodPost, addr, path, job, body, map[string]string{"Content-Type": "application/json"})
	c.Record.Add("job %s of %d items submitted at %s: %d", job, len(items), addr, status)
	return status
}

// End ends a batch job and returns the status of the answer.
func (c *Client) End(addr, job string) int {
	status, _ := c.call(http.MethodDelete, addr, names.JobPath+job, job, nil, nil)
	c.Record.Add("job %s ended at %s: %d", job, addr, status)
	return status
}

// Page is a page of results.
type Page struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// Results reads the results of a job from a position on.
func (c *Client) Results(addr, job string, from int) (status int, page Page) {
	status, data := c.call(http.MethodGet, addr, fmt.Sprintf("%s%s?after=%d", names.JobPath, job, from), job, nil, map[string]string{names.Wait: "1000"})
	if status == http.StatusOK && json.Unmarshal(data, &page) != nil {
		return 0, Page{}
	}
	return status, page
}

// Stream sends a request for a stream and returns the status and the body of the answer.
func (c *Client) Stream(addr, path, id string, promptTokens, outputTokens int, timeLimit time.Duration) (status int, body string) {
	status, data := c.call(http.MethodPost, addr, path, id, make([]byte, bytesPerToken*promptTokens), map[string]string{
		names.Model: "m", names.TokenCount: fmt.Sprintf("%d,%d", promptTokens, outputTokens), names.Deadline: fmt.Sprint(timeLimit.Milliseconds()),
	})
	c.Record.Add("stream %s at %s: %d", id, addr, status)
	return status, string(data)
}
