/**
 * Routes from callers' host names and paths to services, with what may be done with each request.
 *
 * Use it to compile the operators' configuration into a table and to look routes up for each request.
 *
 * @example
 * ```ts
 * import { chooseService, compileRouteTable } from "./index.js";
 *
 * const route = compileRouteTable(configuration).match("mill.example", "/orders/17");
 * ```
 *
 * @module
 */
export { chooseService, compileRouteTable, type RouteTable } from "./routeTable.js";
export {
    type CallerLimits,
    type EngineDefinition,
    type ModelDefinition,
    type RequestKind,
    type Route,
    type RoutingConfiguration,
    type ServiceDefinition,
    type WeightedService,
} from "./types.js";
