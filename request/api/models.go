package api

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/go-kit/kit/endpoint"

	"github.com/lotusferry/lotusferry/structs"
)

// modelParameter is the path wildcard for a model name. Row names may contain
// slashes, such as those of adapters.
const modelParameter = "model"

func modelsEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) {
		return service.Rows(ctx)
	}
}

// modelEndpoint returns an endpoint that looks up a row by name.
func modelEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, input any) (any, error) {
		name := input.(structs.RowName)
		rows, err := service.Rows(ctx)
		if err != nil {
			return nil, err
		}
		index := slices.IndexFunc(rows, func(row structs.Row) bool { return row.Name == name })
		if index < 0 {
			return nil, structs.NewError(structs.ErrorNotFound, "the table has no row "+string(name),
				"List the models, or have an operator add the row.")
		}
		return rows[index], nil
	}
}

func decodeModel(_ context.Context, r *http.Request) (any, error) {
	return structs.RowName(r.PathValue(modelParameter)), nil
}

func encodeModels(_ context.Context, w http.ResponseWriter, response any) error {
	rows := response.([]structs.Row)
	list := modelList{Object: "list", Data: make([]modelItem, 0, len(rows))}
	for _, row := range rows {
		list.Data = append(list.Data, modelItemOf(row))
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}

func encodeModel(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(modelItemOf(response.(structs.Row)))
}

func modelItemOf(row structs.Row) modelItem {
	return modelItem{ID: string(row.Name), Object: "model", OwnedBy: "lotusferry"}
}
