package mix

// FaultNames lists what Options.Fault may be.
func FaultNames() []string { return nil }
