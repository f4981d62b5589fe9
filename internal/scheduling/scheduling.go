// Package scheduling serves, fetches and prints what a gateway knows of the speed of targets, the demand of services
// and the shares of workspaces.
package scheduling

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/internal/httpanswer"
)

const (
	// Path is the path of the endpoint at a gateway's address for metrics.
	Path = "/scheduling"
	// fetchTimeout bounds one fetch. A gateway answers within milliseconds, even if it is overloaded.
	fetchTimeout = 10 * time.Second
	// maxBytes bounds an answer; the bounds of fleet.Scheduling keep it below 2 MB.
	maxBytes = 8 << 20
	// maxQuoted is how much of an unexpected answer an error quotes, in bytes.
	maxQuoted = 120
)

// Handler returns the handler of the endpoint, which answers with the state that read returns.
func Handler(read func() fleet.Scheduling) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.Marshal(read())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data) // the reader has left
	})
}

// Fetch reads the state of the gateway whose address for metrics is addr, as HOST:PORT or as a URL. Errors:
// errs.BadRequest if addr is no address, errs.TargetFailed if there is no answer, errs.BadFrame for another answer.
func Fetch(ctx context.Context, addr string) (fleet.Scheduling, error) {
	var s fleet.Scheduling
	url := strings.TrimSuffix(addr, "/") + Path
	if !strings.Contains(addr, "://") {
		url = "http://" + url
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, errs.New(errs.BadRequest, err.Error())
	}
	resp, err := httpanswer.Client.Do(req)
	if err != nil {
		return s, errs.New(errs.TargetFailed, err.Error())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	switch {
	case err != nil:
		return s, errs.Newf(errs.TargetFailed, "%s: %v after %d bytes of the answer", url, err, len(data))
	case resp.StatusCode != http.StatusOK:
		return s, errs.Newf(errs.BadFrame, "%s answered with status %d: %s", url, resp.StatusCode, quote(data))
	}
	if err := json.Unmarshal(data, &s); err != nil {
		// A gateway without this endpoint answers with its metrics.
		return s, errs.Newf(errs.BadFrame, "%s answered with %d bytes that are no state of the scheduling (%v): %s", url, len(data), err, quote(data))
	}
	return s, nil
}

// quote returns the begin of an answer for an error.
func quote(data []byte) string {
	return fmt.Sprintf("%q", data[:min(maxQuoted, len(data))])
}
