package structs

// Loaded is one model that a target has loaded.
type Loaded struct {
	Model    ModelID  `cbor:"1,keyasint" json:"model"`
	Version  string   `cbor:"2,keyasint,omitempty" json:"version,omitempty"` // empty: not known
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
}
