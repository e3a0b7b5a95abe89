package config

import (
	"fmt"
	"os"
)

// Check validates the settings and returns all problems, warnings included. It reads
// the named files and tests that the data folder is writable.
func (c Config) Check() []Problem {
	check := &checker{config: c}
	check.identity()
	check.dataFolder()
	check.listen()
	check.site()
	check.tls()
	check.keys()
	check.timing()
	check.limits()
	check.log()
	return check.problems
}

// checker collects the problems of one Config.
type checker struct {
	config   Config
	problems []Problem
}

func (k *checker) add(key string, value any, problem, remedy string) {
	k.problems = append(k.problems, Problem{
		Key:     key,
		Value:   fmt.Sprint(value),
		Problem: problem,
		Remedy:  remedy,
	})
}

func (k *checker) warn(key string, value any, problem, remedy string) {
	k.add(key, value, problem, remedy)
	k.problems[len(k.problems)-1].Warning = true
}

func (k *checker) identity() {
	c := k.config
	k.identifier("daemon", string(c.Daemon))
	if _, known := c.Site.ZoneByID(c.Zone); !known {
		k.add("zone", c.Zone, "is not a zone of the site",
			"Name one of the zones under site.zones, or add it there.")
	}
	if len(c.Roles) == 0 {
		k.add("roles", "", "is empty", "Name router, controller or both.")
	}
	seen := map[Role]bool{}
	for index, role := range c.Roles {
		key := fmt.Sprintf("roles[%d]", index)
		if role != RoleRouter && role != RoleController {
			k.add(key, role, "is not a role", "Write router or controller.")
		}
		if seen[role] {
			k.add(key, role, "is listed twice", "Name each role once.")
		}
		seen[role] = true
	}
}

// maximumIdentifierLength bounds IDs, which appear in logs and certificates.
const maximumIdentifierLength = 63

// identifier checks an ID, which is used in certificates and file names.
func (k *checker) identifier(key, value string) {
	if value == "" {
		k.add(key, value, "is missing", "Give it an ID of letters, digits, dots and dashes.")
		return
	}
	if !isIdentifier(value) {
		k.add(key, value, "is not a valid ID",
			fmt.Sprintf("Use 1 to %d letters, digits, dots and dashes, starting with a letter or digit.", maximumIdentifierLength))
	}
}

func isIdentifier(value string) bool {
	if len(value) > maximumIdentifierLength {
		return false
	}
	for index, char := range value {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		digit := char >= '0' && char <= '9'
		if letter || digit {
			continue
		}
		if index == 0 || char != '-' && char != '.' {
			return false
		}
	}
	return value != ""
}

func (k *checker) dataFolder() {
	folder := k.config.DataFolder
	if folder == "" {
		k.add("data_folder", "", "is missing", "Set a folder that no other daemon uses.")
		return
	}
	info, err := os.Stat(folder)
	if err != nil {
		k.add("data_folder", folder, "cannot be opened ("+err.Error()+")",
			"Create it with `mkdir -m 0700` for the user that runs the daemon.")
		return
	}
	if !info.IsDir() {
		k.add("data_folder", folder, "is not a folder", "Name a folder.")
		return
	}
	if err := checkWritable(folder); err != nil {
		k.add("data_folder", folder, "is not writable ("+err.Error()+")",
			"Make it writable for the user that runs the daemon.")
	}
}

// checkWritable creates and removes a file in the folder. Permission bits alone do not
// show whether the file system is writable.
func checkWritable(folder string) error {
	file, err := os.CreateTemp(folder, ".check-*")
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return os.Remove(file.Name())
}
