package config

import (
	"fmt"
	"slices"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// applyChange returns the configuration after a change. If the change is invalid, the error says what to do instead;
// its text is stored as the change's result in the replicated state, so all hosts must produce the same text.
func applyChange(config model.Config, change Change) (model.Config, error) {
	switch change.Operation {
	case ApplyContract:
		return applyContract(config, change.Contract)
	case RemoveContract:
		return removeContract(config, change.Name)
	case DeclareVersion:
		return declareVersion(config, change.Version)
	case WithdrawVersion:
		return withdrawVersion(config, change.Name)
	case AddMember:
		return addMember(config, change.Member)
	case RemoveMember:
		return removeMember(config, change.Name)
	}
	return config, fmt.Errorf("operation %v isn't known; upgrade the host", change.Operation)
}

// applyContract adds or replaces a contract. Its versions must be declared, and no key may belong to another customer.
func applyContract(config model.Config, contract *model.Contract) (model.Config, error) {
	if contract == nil {
		return config, fmt.Errorf("the change lacks a contract; give one")
	}
	if err := contract.Check(); err != nil {
		return config, err
	}
	for _, k := range contract.KeyHashes {
		if o, ok := config.ContractByKeyHash(k); ok && o.Customer != contract.Customer {
			return config, fmt.Errorf("key-hashes holds a key of customer %s; give each customer its own keys", o.Customer)
		}
	}
	for _, v := range contract.Versions {
		if _, ok := config.Version(v); !ok {
			return config, fmt.Errorf("versions names %s, which isn't declared; declare it first", v)
		}
	}
	return config.WithContract(*contract), nil
}

// removeContract removes the contract of the named customer.
func removeContract(config model.Config, name string) (model.Config, error) {
	if _, ok := config.Contract(name); !ok {
		return config, fmt.Errorf("no contract of %s; list the contracts", name)
	}
	config.Contracts = slices.DeleteFunc(slices.Clone(config.Contracts), func(c model.Contract) bool { return c.Customer == name })
	return config, nil
}

// declareVersion adds or replaces a version in state live. A withdrawn version can't be declared again.
func declareVersion(config model.Config, version *model.Version) (model.Config, error) {
	if version == nil {
		return config, fmt.Errorf("the change lacks a version; give one")
	}
	if err := version.Check(); err != nil {
		return config, err
	}
	if o, ok := config.Version(version.Name); ok && o.State == model.VersionWithdrawn {
		return config, fmt.Errorf("%s was withdrawn and stays so; declare a version of another name", version.Name)
	}
	v := *version
	v.State = model.VersionLive
	return config.WithVersion(v), nil
}

// withdrawVersion marks a version as withdrawn. The version stays in the configuration.
func withdrawVersion(config model.Config, name string) (model.Config, error) {
	v, ok := config.Version(name)
	if !ok {
		return config, fmt.Errorf("no version %s; list the versions", name)
	}
	v.State = model.VersionWithdrawn
	return config.WithVersion(v), nil
}

// addMember adds or replaces a member.
func addMember(config model.Config, member *model.Member) (model.Config, error) {
	if member == nil {
		return config, fmt.Errorf("the change lacks a member; give one")
	}
	if err := member.Check(); err != nil {
		return config, err
	}
	return config.WithMember(*member), nil
}

// removeMember removes a member.
func removeMember(config model.Config, name string) (model.Config, error) {
	if _, ok := config.Member(name); !ok {
		return config, fmt.Errorf("no member %s; list the members", name)
	}
	return config.WithoutMember(name), nil
}
