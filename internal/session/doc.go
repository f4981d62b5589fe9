// Package session is one WebSocket with CBOR between an entry and a side. It
// multiplexes structs.Frame, proves both peers to each other under a shared peer
// key, notices a silent peer, and never blocks a sender.
//
// Handshake. The client sends a Hello with a nonce and the identifier of its
// first key. The server answers with its own nonce and its proof, an
// HMAC-SHA256 over its Hello and the client's nonce. The client answers with its proof
// over the server's nonce; the server's first Beat accepts it. Any refusal
// is a frame of stream 0 with End.Err set. Keys are read anew at each handshake, so
// rotation needs no restart: add the new key everywhere as second, make it
// first, then drop the old one.
package session
