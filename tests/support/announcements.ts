/**
 * Creates announcements of engines for tests.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../src/fleet/index.js";

/**
 * Creates the announcement of an engine that accepts requests.
 *
 * @param models Models that the engine holds, without adapters.
 * @param overrides Fields that differ from the defaults.
 */
export function createAnnouncement(
    models: readonly string[],
    overrides: Partial<UpstreamAnnouncement> = {},
): UpstreamAnnouncement {
    return {
        id: "engine",
        startedAtMilliseconds: 1,
        service: "llm",
        address: "10.0.0.1:80",
        zone: "z",
        softwareVersion: "v1",
        slots: 64,
        leaving: false,
        remainingMilliseconds: undefined,
        announcementNumber: 900,
        models: models.map(name => ({ name, adapters: [] })),
        localWeights: { inMemory: [], onDisk: [] },
        ...overrides,
    };
}
