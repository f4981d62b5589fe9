package command

import (
	"flag"
	"os"
	"strings"

	"arbutusramp/core/errs"
)

// Environment variables of arbutusctl. Keys come from here or from a file, never from
// arguments, which other users of a machine can read.
const (
	envAdmin        = "ARBUTUSCTL_ADMIN"
	envKey          = "ARBUTUSCTL_KEY"
	envCallers      = "ARBUTUSCTL_CALLERS"
	envWorkspaceKey = "ARBUTUSCTL_WORKSPACE_KEY"
)

// apiFlags say which listener a command speaks to, with which key.
type apiFlags struct {
	url, keyFile string
	envKey       string
}

// addAdmin adds the flags of commands that use the administration API.
func (a *apiFlags) addAdmin(f *flag.FlagSet) {
	a.envKey = envKey
	f.StringVar(&a.url, "admin", os.Getenv(envAdmin), "base URL of an entry's administration listener, or "+envAdmin)
	f.StringVar(&a.keyFile, "key-file", "", "file with the operator's key, or the key in "+envKey)
}

// addCallers adds the flags of commands that use the callers' API.
func (a *apiFlags) addCallers(f *flag.FlagSet) {
	a.envKey = envWorkspaceKey
	f.StringVar(&a.url, "callers", os.Getenv(envCallers), "base URL of an entry's callers' listener, or "+envCallers)
	f.StringVar(&a.keyFile, "key-file", "", "file with the workspace's key, or the key in "+envWorkspaceKey)
}

// key returns the key. Error: errs.BadRequest when there is none.
func (a *apiFlags) key() (string, error) {
	if a.keyFile == "" {
		if key := os.Getenv(a.envKey); key != "" {
			return key, nil
		}
		return "", errs.New(errs.BadRequest, "no key: set "+a.envKey+" or -key-file")
	}
	data, err := os.ReadFile(a.keyFile)
	if err != nil {
		return "", errs.New(errs.BadRequest, err.Error())
	}
	return strings.TrimSpace(string(data)), nil
}

// target returns the URL and the key. Error: errs.BadRequest when one is missing.
func (a *apiFlags) target() (url, key string, err error) {
	if a.url == "" {
		return "", "", errs.New(errs.BadRequest, "no address of an entry")
	}
	key, err = a.key()
	return strings.TrimSuffix(a.url, "/"), key, err
}
