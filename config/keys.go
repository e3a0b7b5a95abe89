package config

// ReadKeys rereads the API keys of the operators and callers from the settings file at
// path. It returns an *InvalidError if the file cannot be decoded or a key is invalid.
// Other settings in the file are ignored.
func (c Config) ReadKeys(path string) ([]OperatorKey, []CallerKey, error) {
	content, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	decoded, problems := Decode(content)
	// Whether keys are required depends on the roles and mode of the running process.
	running := c
	running.Operators, running.Callers = decoded.Operators, decoded.Callers
	check := &checker{config: running, problems: problems}
	check.keys()
	if len(fatalProblems(check.problems)) > 0 {
		return nil, nil, &InvalidError{Path: path, Problems: check.problems}
	}
	return running.Operators, running.Callers, nil
}
