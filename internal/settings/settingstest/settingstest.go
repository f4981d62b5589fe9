// Package settingstest has settings files without a fault, for tests.
package settingstest

// Entry is a settings file of an entry.
const Entry = `[host]
role = entry
id = entry-1
domain = a
[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
peers = 127.0.0.1:0
status = 127.0.0.1:0
[platform]
log_url = http://127.0.0.1:7001
host_list_url = http://127.0.0.1:7002
[peer_keys]
new = 00112233445566778899aabbccddeeff
`

// Side is a settings file of a side.
const Side = `[host]
role = side
id = side-1
domain = a
[listen]
sessions = 127.0.0.1:0
status = 127.0.0.1:0
[target]
id = t1
kind = engine
url = http://127.0.0.1:9000
models = m1, m2
[peer_keys]
new = 00112233445566778899aabbccddeeff
`
