/**
 * Summarizes the routes with streams that callers may resume.
 *
 * @module
 */
import { type Route } from "./types.js";

/** The services with streams that callers may resume, and the longest time limit of their routes. */
export interface ResumableStreams {
    readonly services: ReadonlySet<string>;
    readonly timeoutMilliseconds: number;
}

/**
 * Returns the services with streams that callers may resume.
 *
 * @param routes The routes of a configuration.
 *
 * @example
 * ```ts
 * const { services } = resumableStreams(configuration.routes);
 * ```
 */
export function resumableStreams(routes: readonly Route[]): ResumableStreams {
    const streams = routes.filter(({ kind, resumable }) => kind === "event-stream" && resumable);
    return {
        services: new Set(streams.flatMap(({ services }) => services.map(({ service }) => service))),
        timeoutMilliseconds: Math.max(0, ...streams.map(({ timeoutMilliseconds }) => timeoutMilliseconds)),
    };
}
