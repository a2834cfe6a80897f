/**
 * Checks that names in the operators' configuration are unique and that references resolve.
 *
 * @module
 */
import { type Deployment } from "../generated/deployment.js";
import { type TextDocument, type TextPath } from "./_document.js";
import { checkBaseUrl } from "./_urls.js";
import { type TextProblem } from "./problems.js";

interface LocatedName {
    readonly name: string;
    readonly path: TextPath;
}

function locateNames(list: readonly { readonly name: string; }[], path: TextPath): LocatedName[] {
    return list.map(({ name }, index) => ({ name, path: [...path, index, "name"] }));
}

function engineNames(deployment: Deployment): LocatedName[] {
    return deployment.pools.flatMap((pool, index) => locateNames(pool.engines, ["pools", index, "engines"]));
}

function engineUrls(deployment: Deployment): LocatedName[] {
    return deployment.pools.flatMap((pool, poolIndex) =>
        pool.engines.map((engine, index) => ({
            name: engine.url,
            path: ["pools", poolIndex, "engines", index, "url"],
        }))
    );
}

function serviceUrls(deployment: Deployment): LocatedName[] {
    return deployment.services.flatMap((service, serviceIndex) =>
        service.urls.map((name, index) => ({ name, path: ["services", serviceIndex, "urls", index] }))
    );
}

/** Services, models and adapters share one namespace, because `dependsOn` may name any of them. */
function dependencyTargets(deployment: Deployment): LocatedName[] {
    return [
        ...locateNames(deployment.models, ["models"]),
        ...locateNames(deployment.adapters, ["adapters"]),
        ...locateNames(deployment.services, ["services"]),
    ];
}

function findDuplicates(document: TextDocument, names: readonly LocatedName[], kind: string): TextProblem[] {
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
 * Returns a problem for each duplicate name or address.
 *
 * @param document The parsed configuration.
 * @param deployment The deployment in it.
 */
export function duplicateProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const pools = deployment.pools.flatMap((pool, index) =>
        findDuplicates(document, locateNames(pool.roles, ["pools", index, "roles"]), "role of the pool")
    );
    const calls = deployment.services.flatMap((service, index) =>
        findDuplicates(document, locateNames(service.calls, ["services", index, "calls"]), "call of the service")
    );
    return [
        ...findDuplicates(document, locateNames(deployment.zones, ["zones"]), "zone"),
        ...findDuplicates(document, locateNames(deployment.pools, ["pools"]), "pool"),
        ...findDuplicates(document, engineNames(deployment), "engine"),
        ...findDuplicates(document, engineUrls(deployment), "engine"),
        ...findDuplicates(document, dependencyTargets(deployment), "service, model or adapter"),
        ...pools,
        ...calls,
    ];
}

function findUnknown(
    document: TextDocument,
    references: readonly LocatedName[],
    known: readonly string[],
    kind: string,
): TextProblem[] {
    const set = new Set(known);
    return references.filter(({ name }) => !set.has(name)).map(({ path }) =>
        document.problemAt(path, {
            message: `The configuration lists no such ${kind}`,
            allowed: known.length === 0 ? `no ${kind} is listed` : known.map(name => JSON.stringify(name)).join(", "),
        })
    );
}

function locateReferences(names: readonly string[], path: TextPath): LocatedName[] {
    return names.map((name, index) => ({ name, path: [...path, index] }));
}

/**
 * Returns a problem for each unresolved reference, each URL without an IP address, and each service with only one of
 * `urls` and `calls`.
 *
 * @param document The parsed configuration.
 * @param deployment The deployment in it.
 */
export function referenceProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const { pools, models, adapters, services } = deployment;
    const engineZones = pools.flatMap((pool, poolIndex) =>
        pool.engines.map(({ zone }, index) => ({ name: zone, path: ["pools", poolIndex, "engines", index, "zone"] }))
    );
    const modelPools = models.flatMap((model, index) => locateReferences(model.pools, ["models", index, "pools"]));
    const adapterModels = adapters.map(({ model }, index) => ({ name: model, path: ["adapters", index, "model"] }));
    const dependencies = services.flatMap((service, index) =>
        locateReferences(service.dependsOn, ["services", index, "dependsOn"])
    );
    return [
        ...findUnknown(document, engineZones, deployment.zones.map(({ name }) => name), "zone"),
        ...pools.flatMap((pool, index) => roleProblems(document, pool, ["pools", index, "role"])),
        ...findUnknown(document, modelPools, pools.map(({ name }) => name), "pool"),
        ...findUnknown(document, adapterModels, models.map(({ name }) => name), "model"),
        ...findUnknown(
            document,
            dependencies,
            dependencyTargets(deployment).map(({ name }) => name),
            "service, model or adapter",
        ),
        ...urlProblems(document, [...engineUrls(deployment), ...serviceUrls(deployment)]),
        ...callProblems(document, deployment),
    ];
}

function roleProblems(document: TextDocument, pool: Deployment["pools"][number], path: TextPath): TextProblem[] {
    const references = pool.role === undefined ? [] : [{ name: pool.role, path }];
    return findUnknown(document, references, pool.roles.map(({ name }) => name), "role of the pool");
}

function urlProblems(document: TextDocument, urls: readonly LocatedName[]): TextProblem[] {
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
 * Returns a problem for each dependency cycle of services.
 *
 * @param document The parsed configuration.
 * @param deployment The deployment in it.
 */
export function cycleProblems(document: TextDocument, deployment: Deployment): TextProblem[] {
    const services = new Map(deployment.services.map((service, index) => [service.name, { service, index }]));
    const visited = new Set<string>();
    const problems: TextProblem[] = [];
    const visit = (name: string, ancestors: readonly string[]): void => {
        const found = services.get(name);
        if (found === undefined || visited.has(name)) {
            return;
        }
        const chain = [...ancestors, name];
        found.service.dependsOn.forEach((dependency, index) => {
            const start = chain.indexOf(dependency);
            if (start >= 0) {
                problems.push(document.problemAt(["services", found.index, "dependsOn", index], {
                    message: `Dependency cycle: ${[...chain.slice(start), dependency].join(" -> ")}`,
                    allowed: "dependencies without a cycle",
                }));
                return;
            }
            visit(dependency, chain);
        });
        visited.add(name);
    };
    deployment.services.forEach(({ name }) => visit(name, []));
    return problems;
}
