/**
 * A site for tests in which requests for streams are sent to engines.
 *
 * @module
 */
import { type EngineSettings, EntrySite } from "./entrySite.js";

/** The route of streams to engines, which go on at another engine when theirs is lost. */
export const ENGINE_ROUTE = { pathPrefix: "/llm/", kind: "stream", service: "llm", resumable: true };

/** Options of {@linkcode startEngineSite}. */
export interface EngineSiteOptions {
    readonly engine: EngineSettings;
    /** Time that a stream may take; that of the site's other routes by default. */
    readonly timeoutMs?: number;
    /** Routes before that of the engines; none by default. */
    readonly otherRoutes?: readonly Readonly<Record<string, unknown>>[];
    /** Era that the key-value service names, and that a restore changes; none by default. */
    readonly era?: number;
}

/** Starts a site without hosts or engines, and stores its configuration; the caller closes it. */
export async function startEngineSite(
    { engine, era, otherRoutes = [], timeoutMs }: EngineSiteOptions,
): Promise<EntrySite> {
    const site = await EntrySite.start();
    site.store.era = era;
    const route = { ...ENGINE_ROUTE, ...timeoutMs !== undefined && { timeoutMs } };
    site.configure([...otherRoutes, route], engine);
    return site;
}
