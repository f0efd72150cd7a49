package quarantine

// Shared is what the nodes of a fleet share about requests in quarantine beside their reports; it is immutable.
type Shared struct {
	// Key is the secret that requests are named with in reports and logs.
	Key    []byte
	Trials Trials
}
