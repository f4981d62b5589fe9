package scenario

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"
)

const curlTimeout = 60 * time.Second

// curlOptions are the arguments of the curl command of the scripts.
type curlOptions struct {
	method  string
	data    string // body, or @FILE
	headers []string
	code    int            // status that is expected; 0 is any
	until   *regexp.Regexp // the answer is asked for again until this matches
	within  time.Duration  // how long until may take
	show    bool           // print status and headers before the body
	sse     bool           // print the joined text of an event stream, which must be whole
	started string         // file that is written when the first bytes of the answer are there
	output  string         // file that gets the answer in place of stdout
	// freshKey is a file that gets the idempotency key of each try, which is a new one;
	// sameKey is one whose key is used again.
	freshKey, sameKey string
	cacert            string // file with the only certificate that is trusted

	url string
}

// curl sends one request and prints the answer. It fails if the answer is not the
// one that is expected.
func curl(args []string, stdout, stderr io.Writer) int {
	o, err := curlArgs(args, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	deadline := time.Now().Add(o.within)
	for {
		answer, err := curlOnce(o)
		if err == nil && (o.until == nil || o.until.MatchString(answer)) {
			return printAnswer(o, answer, stdout, stderr)
		}
		if o.until == nil || time.Now().After(deadline) {
			fmt.Fprint(stdout, answer)
			fmt.Fprintln(stderr, "curl:", err)
			return 1
		}
		time.Sleep(pollEvery)
	}
}

func printAnswer(o curlOptions, answer string, stdout, stderr io.Writer) int {
	if o.output == "" {
		fmt.Fprint(stdout, answer)
		return 0
	}
	if err := os.WriteFile(o.output, []byte(answer), 0o600); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

func curlArgs(args []string, stderr io.Writer) (curlOptions, error) {
	var o curlOptions
	f := flag.NewFlagSet("curl", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.method, "X", "", "method")
	f.StringVar(&o.data, "d", "", "body or @FILE")
	f.IntVar(&o.code, "code", 0, "expected status")
	f.DurationVar(&o.within, "within", startTimeout, "how long -until may take")
	f.BoolVar(&o.show, "i", false, "print status and headers")
	f.StringVar(&o.started, "started", "", "file written at the first bytes of the answer")
	f.StringVar(&o.output, "o", "", "file for the answer")
	f.StringVar(&o.freshKey, "fresh-key", "", "file for the fresh idempotency key of each try")
	f.StringVar(&o.sameKey, "same-key", "", "file with the idempotency key to use again")
	f.StringVar(&o.cacert, "cacert", "", "file with the only certificate that is trusted")
	f.BoolVar(&o.sse, "sse", false, "print the text of an event stream")
	f.Func("H", "header", func(h string) error {
		o.headers = append(o.headers, h)
		return nil
	})
	f.Func("until", "ask again until the answer matches", func(s string) (err error) {
		o.until, err = regexp.Compile(s)
		return err
	})
	if err := f.Parse(args); err != nil {
		return o, err
	}
	if f.NArg() != 1 {
		return o, fmt.Errorf("want one URL, have %q", f.Args())
	}
	o.url = f.Arg(0)
	return o, nil
}

func curlOnce(o curlOptions) (string, error) {
	req, err := curlRequest(o)
	if err != nil {
		return "", err
	}
	client, err := curlClient(o)
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var b strings.Builder
	if o.show {
		fmt.Fprintln(&b, resp.Status)
		resp.Header.Write(&b)
		fmt.Fprintln(&b)
	}
	if err := readBody(o, resp.Body, &b); err != nil {
		return b.String(), err
	}
	if o.code != 0 && resp.StatusCode != o.code {
		return b.String(), fmt.Errorf("status %s, want %d", resp.Status, o.code)
	}
	if o.sse {
		return sseText(b.String())
	}
	return b.String(), nil
}

func curlClient(o curlOptions) (*http.Client, error) {
	client := &http.Client{Timeout: curlTimeout}
	if o.cacert == "" {
		return client, nil
	}
	data, err := os.ReadFile(o.cacert)
	if err != nil {
		return nil, err
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no certificate", o.cacert)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}}
	return client, nil
}

func readBody(o curlOptions, body io.Reader, to io.Writer) error {
	if o.started != "" {
		if _, err := io.CopyN(to, body, 1); err != nil {
			return err
		}
		if err := os.WriteFile(o.started, nil, 0o600); err != nil {
			return err
		}
	}
	_, err := io.Copy(to, body)
	return err
}

// addKey adds the idempotency key, if one is asked for. A fresh key says when it was
// first used, as clients should.
func addKey(o curlOptions, header http.Header) error {
	file := o.sameKey
	if o.freshKey != "" {
		file = o.freshKey
		key := fmt.Sprintf("key-%d %d", time.Now().UnixNano(), time.Now().UnixMilli())
		if err := os.WriteFile(file, []byte(key), 0o600); err != nil {
			return err
		}
	}
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	key, issued, _ := strings.Cut(string(data), " ")
	header.Set("Idempotency-Key", key)
	header.Set("Idempotency-Issued", issued)
	return nil
}

// sseText joins the tokens of a chat stream. It fails unless the stream was ended
// as streams have to be.
func sseText(body string) (string, error) {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return text.String(), err
		}
		if len(event.Choices) == 0 {
			return text.String(), fmt.Errorf("event without a token: %s", data)
		}
		text.WriteString(event.Choices[0].Delta.Content)
	}
	return text.String(), errors.New("the stream ended without [DONE]")
}

func curlRequest(o curlOptions) (*http.Request, error) {
	body := o.data
	if path, ok := strings.CutPrefix(o.data, "@"); ok {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		body = string(data)
	}
	method := o.method
	if method == "" {
		method = http.MethodGet
		if body != "" {
			method = http.MethodPost
		}
	}
	req, err := http.NewRequest(method, o.url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for _, h := range o.headers {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Add(name, strings.TrimSpace(value))
	}
	return req, addKey(o, req.Header)
}
