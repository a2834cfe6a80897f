/**
 * Routes as the requests of an account see them.
 *
 * @module
 */
import { type Account } from "../accounts/index.js";
import { type Route } from "./types.js";

/**
 * Returns a route with the priority of an account's requests, which holds wherever the route's priority decides.
 *
 * @param route The configured route.
 * @param account The account; `undefined` for a request without one.
 *
 * @example
 * ```ts
 * const { priority } = withPriorityOf(route, account);
 * ```
 */
export function withPriorityOf(route: Route, account: Pick<Account, "priority"> | undefined): Route {
    const priority = account?.priority ?? route.priority;
    return priority === route.priority ? route : { ...route, priority };
}
