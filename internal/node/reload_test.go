package node

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/settings/settingstest"
	"github.com/rcrowley/go-metrics"
)

// settingsFile is a settings file that a test changes, with the log and metrics of the process that reloads it.
type settingsFile struct {
	t    *testing.T
	path string
	log  bytes.Buffer
	reg  metrics.Registry
}

// newSettingsFile writes text to a new settings file.
func newSettingsFile(t *testing.T, text string) *settingsFile {
	f := &settingsFile{t: t, path: filepath.Join(t.TempDir(), "settings.ini"), reg: metrics.NewRegistry()}
	f.write(text)
	return f
}

func (f *settingsFile) write(text string) {
	f.t.Helper()
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// startEntry creates an entry with the settings of the file, and returns its reloader and keys.
func (f *settingsFile) startEntry() (*Reloader, *keyring.Keyring) {
	f.t.Helper()
	s, err := settings.LoadEntry(f.path)
	if err != nil {
		f.t.Fatal(err)
	}
	logger := logging.New("entry", s.Logs, &f.log)
	e, err := NewEntry(s, logger, f.reg)
	if err != nil {
		f.t.Fatal(err)
	}
	return NewEntryReloader(f.path, s, e, logger, f.reg), e.Keys()
}

// Guards against keys that can be changed only by restarting every process: a reload must apply changed keys
// and the log level, and name the other changed settings.
func TestReloadReplacesKeys(t *testing.T) {
	f := newSettingsFile(t, settingstest.Entry+"[operators]\nann = "+settings.KeySum("first")+"\n")
	r, keys := f.startEntry()
	changed := strings.Replace(settingstest.Entry, "new = ", "next = 0123456789abcdef0123456789abcdef\nnew = ", 1)
	f.write(changed + "[operators]\nann = " + settings.KeySum("second") + "\n[log]\nlevel = warn\n[online]\nmax_body = 2048\n")
	if err := r.Reload(); err != nil {
		t.Fatal(err)
	}
	if got := keys.PeerKeys(); len(got) != 2 || got[0].ID != "next" || got[1].ID != "new" {
		t.Errorf("peer keys after the reload: %v, want those named next and new", got)
	}
	if name, err := keys.FindOperator("second"); name != "ann" || err != nil {
		t.Errorf("operator of the new key: %q, error %v; want ann and no error", name, err)
	}
	if _, err := keys.FindOperator("first"); !errs.Is(err, errs.Unauthenticated) || !strings.Contains(err.Error(), "old one of operator ann") {
		t.Errorf("operator of the replaced key: error %v, want type unauthenticated that names the old key of operator ann", err)
	}
	for _, want := range []string{"settings differ that need a restart: keys=\"[online] max_body\""} {
		if !strings.Contains(f.log.String(), want) {
			t.Errorf("the log of the reload lacks %q:\n%s", want, &f.log)
		}
	}
	f.log.Reset()
	if err := r.Reload(); err != nil || strings.Contains(f.log.String(), "audit") {
		t.Errorf("reload at log level warn: error %v, want none, and no audit line in the log:\n%s", err, &f.log)
	}
}

// Guards against a mistake in a settings file that cuts a process off from all others: a file with errors,
// without peer keys, or with another secret under the id of a key must change nothing.
func TestReloadOfInvalidFileKeepsKeys(t *testing.T) {
	f := newSettingsFile(t, settingstest.Side)
	s, err := settings.LoadSide(f.path)
	if err != nil {
		t.Fatal(err)
	}
	logger := logging.New("side", s.Logs, &f.log)
	process, err := NewSide(s, logger, f.reg)
	if err != nil {
		t.Fatal(err)
	}
	r := NewSideReloader(f.path, s, process, logger, f.reg)
	invalid := strings.Replace(settingstest.Side, "kind = engine", "kind = motor", 1)
	invalid = strings.Replace(invalid, "new = 00", "new = 11", 1) + "[weather]\n"
	for _, text := range []string{
		strings.Replace(settingstest.Side, "[peer_keys]\nnew = 00112233445566778899aabbccddeeff\n", "", 1),
		strings.Replace(settingstest.Side, "new = 00", "new = 11", 1),
		invalid,
	} {
		f.write(text)
		if err := r.Reload(); !errs.Is(err, errs.BadSettings) {
			t.Errorf("reload of an invalid file: error %v, want type bad_settings", err)
		}
	}
	if got := process.Keys().PeerKeys(); len(got) != 1 || got[0].ID != "new" || got[0].Secret[0] != 0 {
		t.Errorf("peer keys after the failed reloads: %v, want only the unchanged one named new", got)
	}
	for _, want := range []string{"[target] kind: ", "[weather]: unknown section", "[peer_keys]: missing", "[peer_keys] new: another secret"} {
		if !strings.Contains(f.log.String(), want) {
			t.Errorf("the log of the reload lacks %q:\n%s", want, &f.log)
		}
	}
	if strings.Contains(f.log.String(), "112233445566") {
		t.Error("the log contains a secret of the settings file, want none")
	}
	if n := metrics.GetOrRegisterCounter("settings.reload_failures", f.reg).Count(); n != 3 {
		t.Errorf("%d reload failures counted, want 3", n)
	}
}

func TestReloadWithMissingCertificateChangesNothing(t *testing.T) {
	f := newSettingsFile(t, settingstest.Entry)
	r, keys := f.startEntry()
	f.write(strings.Replace(settingstest.Entry, "new = 00112233445566778899aabbccddeeff", "next = ffeeddccbbaa99887766554433221100", 1) +
		"[tls]\ncaller_cert = /none/a.pem\ncaller_key = /none/a.key\nadmin_cert = /none/b.pem\nadmin_key = /none/b.key\n")
	if err := r.Reload(); !errs.Is(err, errs.BadSettings) {
		t.Fatal(err)
	}
	if got := keys.PeerKeys(); got[0].ID != "new" {
		t.Errorf("peer keys after the failed reload: %v, want the one named new", got)
	}
	for _, file := range []string{"/none/a.pem", "/none/b.pem"} {
		if !strings.Contains(f.log.String(), file) {
			t.Errorf("the log does not name the missing file %s:\n%s", file, &f.log)
		}
	}
}
