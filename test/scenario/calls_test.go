package scenario

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// healthEvery is how often the balancer asks each entry whether it is ready.
const healthEvery = 100 * time.Millisecond

// calls sends calls one after another, from -workers at a time, until the file -stop exists, through the
// entries whose address files are the arguments. It prints how many went well and fails if
// any did not. In the place of the platform's balancer it sends to entries that were ready when
// asked last, and asks an address file again, so that a replaced entry is found.
func calls(args []string, stdout, stderr io.Writer) int {
	g := &generator{stderr: stderr}
	f := flag.NewFlagSet("calls", flag.ContinueOnError)
	f.SetOutput(stderr)
	workers := f.Int("workers", 2, "calls at a time")
	f.StringVar(&g.key, "key", "", "caller's key")
	f.StringVar(&g.body, "d", "", "file with the body of a streamed chat request")
	f.StringVar(&g.want, "want", "", "file with the text that each answer must have")
	stop := f.String("stop", "", "file whose existence ends the run")
	progress := f.String("progress", "", "file that is written once ten calls went well after another")
	if err := f.Parse(args); err != nil {
		return 2
	}
	g.files = f.Args()
	if err := g.load(); err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	return g.run(*workers, *stop, *progress, stdout)
}

// generator makes calls through entries.
type generator struct {
	key, body, want string
	files           []string
	stderr          io.Writer

	ready      atomic.Pointer[[]string] // callers' addresses
	next       atomic.Uint64
	ok, failed atomic.Int64
}

func (g *generator) load() error {
	for _, file := range []*string{&g.body, &g.want} {
		data, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		*file = string(data)
	}
	return nil
}

func (g *generator) run(workers int, stop, progress string, stdout io.Writer) int {
	g.ready.Store(&[]string{})
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error { g.balance(ended); return nil })
	for range workers {
		group.Go(func() error { g.work(ended); return nil })
	}
	for !exists(stop) {
		if progress != "" && g.ok.Load() >= 10 {
			os.WriteFile(progress, nil, 0o600)
			progress = ""
		}
		time.Sleep(pollEvery)
	}
	close(ended)
	group.Wait()
	fmt.Fprintf(stdout, "ok=%d failed=%d\n", g.ok.Load(), g.failed.Load())
	if g.failed.Load() > 0 || g.ok.Load() == 0 {
		return 1
	}
	return 0
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

// balance keeps the list of ready entries until ended is closed.
func (g *generator) balance(ended <-chan struct{}) {
	client := http.Client{Timeout: healthEvery * 10}
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	for {
		var ready sync.Map
		var group errgroup.Group
		for _, file := range g.files {
			group.Go(func() error {
				if addr, ok := readyAddr(&client, file); ok {
					ready.Store(addr, nil)
				}
				return nil
			})
		}
		group.Wait()
		var list []string
		ready.Range(func(addr, _ any) bool {
			list = append(list, addr.(string))
			return true
		})
		g.ready.Store(&list)
		select {
		case <-tick.C:
		case <-ended:
			return
		}
	}
}

// readyAddr returns the callers' address of the entry that wrote file if it is ready.
func readyAddr(client *http.Client, file string) (string, bool) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", false
	}
	addrs := parseAddrs(string(data))
	resp, err := client.Get("http://" + addrs["STATUS"] + "/readyz")
	if err != nil {
		return "", false
	}
	resp.Body.Close()
	return addrs["CALLERS"], resp.StatusCode == http.StatusOK
}

func (g *generator) work(ended <-chan struct{}) {
	client := http.Client{Timeout: curlTimeout}
	for {
		select {
		case <-ended:
			return
		default:
		}
		ready := *g.ready.Load()
		if len(ready) == 0 {
			time.Sleep(pollEvery)
			continue
		}
		addr := ready[g.next.Add(1)%uint64(len(ready))]
		if err := g.call(&client, addr); err != nil {
			g.failed.Add(1)
			fmt.Fprintf(g.stderr, "%s %s: %v\n", time.Now().UTC().Format("15:04:05.000"), addr, err)
			continue
		}
		g.ok.Add(1)
	}
}

func (g *generator) call(client *http.Client, addr string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(g.body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+g.key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(resp.Body))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	text, err := sseText(string(body))
	if err == nil && text != g.want {
		err = errors.New("another text than the engine's own")
	}
	return err
}
