package backlog

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
)

// maxScopeBytes is the maximum length of the workspace's part of a scoped id. The id becomes part of record
// keys, which hold at most 255 bytes.
const maxScopeBytes = 64

// ScopedID returns the id under which a workspace's job is stored: the workspace and the caller's id, joined by
// a slash. Workspaces choose their job ids freely, so two may choose the same one, and none may find the jobs
// of another. If workspace is empty, the scoped id is the caller's id.
func ScopedID(workspace, id string) string {
	if workspace == "" {
		return id
	}
	scope := url.PathEscape(workspace) // contains no slash, so the boundary between scope and id is unambiguous
	if len(scope) > maxScopeBytes {
		sum := sha256.Sum256([]byte(workspace))
		scope = hex.EncodeToString(sum[:maxScopeBytes/2])
	}
	return joinKey(scope, id)
}
