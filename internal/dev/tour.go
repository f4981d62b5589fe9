package dev

import (
	"fmt"
	"io"

	"arbutusramp/internal/settings"
)

// printTour says where everything listens and what to try.
func printTour(out io.Writer, c *Cluster) {
	say := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	say("stand-ins")
	say("  log service  %s", c.standins.log.URL())
	say("  host list    %s", c.standins.hosts.URL())
	say("  weight store %s", c.standins.weights.URL())
	for i := range domains {
		say("domain-%d", i+1)
		say("  entry-%d      callers http://%s  admin http://%s  status http://%s",
			i+1, c.Entries[i].CallerAddr(), c.Entries[i].AdminAddr(), c.Entries[i].StatusAddr())
		say("  engine-%d     %s  service-%d %s", i+1, c.standins.engines[i].URL(), i+1, c.standins.services[i].URL())
	}
	printTries(say, "http://"+c.Entries[0].CallerAddr(), "http://"+c.Entries[0].AdminAddr())
}

func printTries(say func(string, ...any), callers, admin string) {
	say("")
	say("try")
	say("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'",
		callers, WorkspaceKey, chatBody("hello", streamTokens, true))
	say("  curl %s/v1/models -H 'Authorization: Bearer %s'", callers, WorkspaceKey)
	say("  curl %s/svc/%s/status?case=17 -H 'Authorization: Bearer %s'", callers, serviceName, WorkspaceKey)
	say("  ARBUTUSCTL_KEY=%s go run ./cmd/arbutusctl status --admin %s", settings.DevOperatorKey, admin)
	say("")
	say("SIGINT stops it")
}
