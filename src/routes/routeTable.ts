/**
 * Finds the route of a request.
 *
 * @module
 */
import { AccountDirectory } from "../accounts/index.js";
import { hashText } from "../decision/index.js";
import { type ResumableStreams, resumableStreams } from "./resumableStreams.js";
import { type Route, type RoutingConfiguration, type ServiceDefinition } from "./types.js";

const HASH_RANGE = 2 ** 32;

/** The routes and services of one configuration, ready for look-ups. */
export interface RouteTable {
    readonly version: number;
    readonly configuration: RoutingConfiguration;
    /** Returns the route with the longest prefix that matches the path; `undefined` where none does. */
    match(hostName: string, path: string): Route | undefined;
    service(name: string): ServiceDefinition | undefined;
    /** Returns whether the engines of a service can run a model. */
    hasModel(name: string): boolean;
    readonly resumableStreams: ResumableStreams;
    /** `undefined` where no accounts are configured. */
    readonly accounts: AccountDirectory | undefined;
}

function prefixesOf(path: string): string[] {
    const prefixes: string[] = [];
    for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
        prefixes.push(path.slice(0, end + 1));
        if (end === 0) {
            break;
        }
    }
    return prefixes;
}

/** Removes the port from the value of a `Host` header and converts it to lower case. */
function normalizeHostName(hostName: string): string {
    return hostName.replace(/:\d+$/, "").toLowerCase();
}

/**
 * Compiles a configuration into a table; each version of the configuration gets a new table.
 *
 * @param configuration A validated configuration.
 * @returns The table.
 *
 * @example
 * ```ts
 * const route = compileRouteTable(configuration).match("mill.example", "/orders/17");
 * ```
 */
export function compileRouteTable(configuration: RoutingConfiguration): RouteTable {
    const byHost = new Map<string, Map<string, Route>>();
    for (const route of configuration.routes) {
        const hostName = normalizeHostName(route.hostName);
        const routes = byHost.get(hostName) ?? new Map<string, Route>();
        routes.set(route.pathPrefix, route);
        byHost.set(hostName, routes);
    }
    const { accounts = [] } = configuration;
    const services = new Map(configuration.services.map(service => [service.name, service]));
    const models = new Set(
        configuration.services.flatMap(({ engine }) => engine?.models ?? []).map(model => model.name),
    );
    return {
        version: configuration.version,
        configuration,
        match: (hostName, path) => {
            const routes = byHost.get(normalizeHostName(hostName));
            if (routes === undefined) {
                return undefined;
            }
            const prefix = prefixesOf(path).find(prefix => routes.has(prefix));
            return prefix === undefined ? undefined : routes.get(prefix);
        },
        service: name => services.get(name),
        hasModel: name => models.has(name),
        resumableStreams: resumableStreams(configuration.routes),
        accounts: accounts.length === 0 ? undefined : new AccountDirectory(accounts),
    };
}

/**
 * Chooses one of the route's services by their weights; the same request always gets the same service.
 *
 * @param route The route.
 * @param requestId The request's identifier, whose hash selects the service.
 * @returns The service's name; `undefined` where no service has a weight.
 *
 * @example
 * ```ts
 * const service = chooseService(route, "9c41d07be2a35f68");
 * ```
 */
export function chooseService(route: Route, requestId: string): string | undefined {
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let position = hashText(requestId) / HASH_RANGE * total;
    for (const { service, weight } of route.services) {
        if (position < weight) {
            return service;
        }
        position -= weight;
    }
    return undefined;
}
