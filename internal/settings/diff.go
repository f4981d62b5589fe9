package settings

import (
	"fmt"
	"reflect"
)

// EntryRestart names the keys, as [section] key, whose values differ between a and b and
// that a running entry does not take over: they need a restart.
func EntryRestart(a, b Entry) []string { return restart(entryTable(), &a, &b) }

// SideRestart is EntryRestart for a side.
func SideRestart(a, b Side) []string { return restart(sideTable(), &a, &b) }

// restart relies on every section whose keys the operator names being read again.
func restart[T any](tab table[T], a, b *T) []string {
	var keys []string
	for _, r := range tab.rows {
		if r.live || r.field.value == nil {
			continue
		}
		if !reflect.DeepEqual(r.field.value(a), r.field.value(b)) {
			keys = append(keys, fmt.Sprintf("[%s] %s", r.section, r.key))
		}
	}
	return keys
}

// GatewayRestart is EntryRestart for a gateway.
func GatewayRestart(a, b Gateway) []string { return restart(gatewayTable(), &a, &b) }
