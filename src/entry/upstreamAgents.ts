/**
 * Keeps one connection pool per service.
 *
 * @module
 */
import { type Agent } from "node:http";
import { createUpstreamAgent } from "./upstreamAgent.js";

/** Connections of one host to an upstream whose limit is not configured. */
const DEFAULT_CONNECTIONS_PER_UPSTREAM = 16;

/** Share of an upstream's connection limit that all hosts together use. */
const CONNECTION_SHARE = 0.85;

const MINIMUM_CONNECTIONS = 4;

/** Creates an agent for each service on its first request; the agent keeps the connection limit of that time. */
export class UpstreamAgents {
    readonly #agents = new Map<string, Agent>();

    /**
     * Returns the agent of a service.
     *
     * @param service The service.
     * @param maximumConnections Connections that one upstream accepts from all hosts; `undefined` where not configured.
     * @param hostCount Number of hosts that share them, this one included.
     */
    agentFor(service: string, maximumConnections: number | undefined, hostCount: number): Agent {
        const existing = this.#agents.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const connections = maximumConnections === undefined
            ? DEFAULT_CONNECTIONS_PER_UPSTREAM
            : Math.floor(maximumConnections * CONNECTION_SHARE / hostCount);
        const agent = createUpstreamAgent(Math.max(MINIMUM_CONNECTIONS, connections));
        this.#agents.set(service, agent);
        return agent;
    }

    close(): void {
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
    }
}
