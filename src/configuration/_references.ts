/**
 * Checks that names in the operators' text are unique and that what they refer to is there.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type TextDocument, type TextPath } from "./_document.js";
import { checkBaseUrl } from "./_urls.js";
import { type TextProblem } from "./problems.js";

interface PlacedName {
    readonly name: string;
    readonly path: TextPath;
}

function placedNames(list: readonly { readonly name: string; }[], path: TextPath): PlacedName[] {
    return list.map(({ name }, index) => ({ name, path: [...path, index, "name"] }));
}

function engineNames(deployment: Deployment): PlacedName[] {
    return deployment.pools.flatMap((pool, index) => placedNames(pool.engines, ["pools", index, "engines"]));
}

function engineUrls(deployment: Deployment): PlacedName[] {
    return deployment.pools.flatMap((pool, poolIndex) =>
        pool.engines.map((engine, index) => ({
            name: engine.url,
            path: ["pools", poolIndex, "engines", index, "url"],
        }))
    );
}

function serviceUrls(deployment: Deployment): PlacedName[] {
    return deployment.services.flatMap((service, serviceIndex) =>
        service.urls.map((name, index) => ({ name, path: ["services", serviceIndex, "urls", index] }))
    );
}

/** Services, models and adapters share one set of names, because `dependsOn` names all three. */
function dependables(deployment: Deployment): PlacedName[] {
    return [
        ...placedNames(deployment.models, ["models"]),
        ...placedNames(deployment.adapters, ["adapters"]),
        ...placedNames(deployment.services, ["services"]),
    ];
}

function repeats(document: TextDocument, names: readonly PlacedName[], kind: string): TextProblem[] {
    const seen = new Set<string>();
    return names.flatMap(({ name, path }) => {
        if (!seen.has(name)) {
            seen.add(name);
            return [];
        }
        return [document.problemAt(path, {
            message: `Another ${kind} has the same name or address`,
            allowed: `one that no other ${kind} has`,
        })];
    });
}

/**
 * Gives names and addresses that stand twice.
 *
 * @param document The text.
 * @param deployment What it says.
 */
export function duplicateProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const pools = deployment.pools.flatMap((pool, index) =>
        repeats(document, placedNames(pool.roles, ["pools", index, "roles"]), "role of the pool")
    );
    const calls = deployment.services.flatMap((service, index) =>
        repeats(document, placedNames(service.calls, ["services", index, "calls"]), "call of the service")
    );
    return [
        ...repeats(document, placedNames(deployment.zones, ["zones"]), "zone"),
        ...repeats(document, placedNames(deployment.pools, ["pools"]), "pool"),
        ...repeats(document, engineNames(deployment), "engine"),
        ...repeats(document, engineUrls(deployment), "engine"),
        ...repeats(document, dependables(deployment), "service, model or adapter"),
        ...pools,
        ...calls,
    ];
}

function unknown(
    document: TextDocument,
    references: readonly PlacedName[],
    known: readonly string[],
    kind: string,
): TextProblem[] {
    const set = new Set(known);
    return references.filter(({ name }) => !set.has(name)).map(({ path }) =>
        document.problemAt(path, {
            message: `The text lists no such ${kind}`,
            allowed: known.length === 0 ? `no ${kind} is listed` : known.map(name => JSON.stringify(name)).join(", "),
        })
    );
}

function listReferences(names: readonly string[], path: TextPath): PlacedName[] {
    return names.map((name, index) => ({ name, path: [...path, index] }));
}

/**
 * Gives references to what the text does not list, and URLs without an IP number.
 *
 * @param document The text.
 * @param deployment What it says.
 */
export function referenceProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const { pools, models, adapters, services } = deployment;
    const engineZones = pools.flatMap((pool, poolIndex) =>
        pool.engines.map(({ zone }, index) => ({ name: zone, path: ["pools", poolIndex, "engines", index, "zone"] }))
    );
    const modelPools = models.flatMap((model, index) => listReferences(model.pools, ["models", index, "pools"]));
    const adapterModels = adapters.map(({ model }, index) => ({ name: model, path: ["adapters", index, "model"] }));
    const dependencies = services.flatMap((service, index) =>
        listReferences(service.dependsOn, ["services", index, "dependsOn"])
    );
    return [
        ...unknown(document, engineZones, deployment.zones.map(({ name }) => name), "zone"),
        ...pools.flatMap((pool, index) => roleProblems(document, pool, ["pools", index, "role"])),
        ...unknown(document, modelPools, pools.map(({ name }) => name), "pool"),
        ...unknown(document, adapterModels, models.map(({ name }) => name), "model"),
        ...unknown(
            document,
            dependencies,
            dependables(deployment).map(({ name }) => name),
            "service, model or adapter",
        ),
        ...urlProblems(document, [...engineUrls(deployment), ...serviceUrls(deployment)]),
        ...callProblems(document, deployment),
    ];
}

function roleProblems(document: TextDocument, pool: Deployment["pools"][number], path: TextPath): TextProblem[] {
    const references = pool.role === undefined ? [] : [{ name: pool.role, path }];
    return unknown(document, references, pool.roles.map(({ name }) => name), "role of the pool");
}

function urlProblems(document: TextDocument, urls: readonly PlacedName[]): TextProblem[] {
    return urls.flatMap(({ name, path }) => {
        const problem = checkBaseUrl(name);
        return problem === undefined ? [] : [document.problemAt(path, problem)];
    });
}

function callProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    return deployment.services.flatMap((service, index) => {
        if ((service.calls.length === 0) === (service.urls.length === 0)) {
            return [];
        }
        return [document.problemAt(["services", index], {
            message: "A plain service needs both urls and calls",
            allowed: "both, or neither for a service that only uses models",
        })];
    });
}

/**
 * Gives dependencies of services that lead back to themselves, each cycle once.
 *
 * @param document The text.
 * @param deployment What it says.
 */
export function cycleProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const services = new Map(deployment.services.map((service, index) => [service.name, { service, index }]));
    const finished = new Set<string>();
    const problems: TextProblem[] = [];
    const visit = (name: string, trail: readonly string[]): void => {
        const found = services.get(name);
        if (found === undefined || finished.has(name)) {
            return;
        }
        const inner = [...trail, name];
        found.service.dependsOn.forEach((dependency, index) => {
            const start = inner.indexOf(dependency);
            if (start >= 0) {
                problems.push(document.problemAt(["services", found.index, "dependsOn", index], {
                    message: `Dependency cycle: ${[...inner.slice(start), dependency].join(" -> ")}`,
                    allowed: "dependencies that never lead back to the service itself",
                }));
                return;
            }
            visit(dependency, inner);
        });
        finished.add(name);
    };
    deployment.services.forEach(({ name }) => visit(name, []));
    return problems;
}
