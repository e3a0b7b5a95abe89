package config

// ReadKeys reads the API keys of the operators and callers again from the file at path,
// which the settings came from. The error is an *InvalidError when the file's form, or a
// key, is wrong; whatever else the file says counts only after a restart.
func (c Config) ReadKeys(path string) ([]OperatorKey, []CallerKey, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	decoded, problems := Decode(content)
	// Whether keys are needed depends on what this process runs as.
	running := c
	running.Operators, running.Callers = decoded.Operators, decoded.Callers
	check := &checker{config: running, problems: problems}
	check.keys()
	if len(refusing(check.problems)) > 0 {
		return nil, nil, &InvalidError{Path: path, Problems: check.problems}
	}
	return running.Operators, running.Callers, nil
}
