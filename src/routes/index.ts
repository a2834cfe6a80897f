/**
 * Maps callers' host names and paths to services, with the limits and retry rules of each route.
 *
 * Compiles the operators' configuration into a table, and looks up the route of each request.
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
export { type ResumableStreams } from "./resumableStreams.js";
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
export { withPriorityOf } from "./withPriority.js";
