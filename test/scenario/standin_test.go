package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"arbutusramp/standin/engine"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/logsvc"
	"arbutusramp/standin/service"
	"arbutusramp/standin/weights"
)

type standinServer interface {
	URL() string
	Close() error
}

// standinMain runs one stand-in as a process until SIGTERM or SIGINT. Its options
// are those of the stand-in as JSON (durations in nanoseconds).
func standinMain[O any, S standinServer](start func(string, O) (S, error)) func() {
	return func() {
		if err := runStandin(start); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func runStandin[O any, S standinServer](start func(string, O) (S, error)) error {
	addr := flag.String("addr", "127.0.0.1:0", "address to listen at")
	addrFile := flag.String("addr-file", "", "file that gets the address")
	optionsJSON := flag.String("options", "{}", "options as JSON")
	flag.Parse()
	var options O
	if err := json.Unmarshal([]byte(*optionsJSON), &options); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	server, err := start(*addr, options)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("PID=%d\nURL=%s\nADDR=%s\n", os.Getpid(), server.URL(), strings.TrimPrefix(server.URL(), "http://"))
	if err := os.WriteFile(*addrFile+".new", []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(*addrFile+".new", *addrFile); err != nil {
		return err
	}
	<-signals
	return server.Close()
}

func standinCommands() map[string]func() {
	return map[string]func(){
		"standin-log":     standinMain(logsvc.Start),
		"standin-engine":  standinMain(engine.Start),
		"standin-service": standinMain(service.Start),
		"standin-hosts":   standinMain(hostlist.Start),
		"standin-weights": standinMain(weights.Start),
	}
}
