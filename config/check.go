package config

import (
	"fmt"
	"os"
)

// Check returns every problem of the settings, warnings included. It looks at the
// files that are named and tries to write to the data folder.
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

// checker gathers the problems of one Config.
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
		k.add("roles", "", "names no role", "Name router, controller or both.")
	}
	seen := map[Role]bool{}
	for index, role := range c.Roles {
		key := fmt.Sprintf("roles[%d]", index)
		if role != RoleRouter && role != RoleController {
			k.add(key, role, "is not a role", "Write router or controller.")
		}
		if seen[role] {
			k.add(key, role, "stands twice", "Name each role once.")
		}
		seen[role] = true
	}
}

// maximumIdentifierLength keeps IDs readable in logs and certificates.
const maximumIdentifierLength = 63

// identifier checks an ID: it becomes part of certificates and of file names.
func (k *checker) identifier(key, value string) {
	if value == "" {
		k.add(key, value, "is missing", "Give it an ID of letters, digits, dots and dashes.")
		return
	}
	if !isIdentifier(value) {
		k.add(key, value, "is not an ID",
			fmt.Sprintf("Use 1 to %d letters, digits, dots and dashes, with a letter or digit first.", maximumIdentifierLength))
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
		k.add("data_folder", "", "is missing", "Name a folder that this daemon alone uses.")
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
	if err := tryWrite(folder); err != nil {
		k.add("data_folder", folder, "cannot be written ("+err.Error()+")",
			"Give it to the user that runs the daemon.")
	}
}

// tryWrite makes a file in the folder and removes it: access rights alone do not
// tell whether the file system takes files.
func tryWrite(folder string) error {
	file, err := os.CreateTemp(folder, ".check-*")
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return os.Remove(file.Name())
}
