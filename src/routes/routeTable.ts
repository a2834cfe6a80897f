/**
 * Finds the route of a request.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type Route, type RoutingConfiguration, type ServiceDefinition } from "./types.js";

const HASH_RANGE = 2 ** 32;

/** The routes and services of one configuration, ready for look-ups. */
export interface RouteTable {
    readonly version: number;
    readonly configuration: RoutingConfiguration;
    /** Gives the route with the longest prefix that begins the path; `undefined` where none does. */
    match(hostName: string, path: string): Route | undefined;
    service(name: string): ServiceDefinition | undefined;
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

/** Drops a port and upper case from the value of a `Host` header. */
function normalizeHostName(hostName: string): string {
    return hostName.replace(/:\d+$/, "").toLowerCase();
}

/**
 * Compiles a configuration; the table is swapped whole when another version comes.
 *
 * @param configuration A checked configuration.
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
    const services = new Map(configuration.services.map(service => [service.name, service]));
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
    };
}

/**
 * Chooses the service of a request among those of its route; the same request always gets the same one.
 *
 * @param route The route.
 * @param requestId The request's identifier, whose hash is spread over the weights.
 * @returns The service's name; `undefined` where no service has a weight.
 *
 * @example
 * ```ts
 * const service = chooseService(route, "9c41d07be2a35f68");
 * ```
 */
export function chooseService(route: Route, requestId: string): string | undefined {
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let point = hashText(requestId) / HASH_RANGE * total;
    for (const { service, weight } of route.services) {
        if (point < weight) {
            return service;
        }
        point -= weight;
    }
    return undefined;
}
