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

/**
 * Creates an agent for each service on its first request. A host's share of an upstream's connections follows the
 * number of known hosts and the configuration.
 *
 * @example
 * ```ts
 * const agents = new UpstreamAgents();
 * agents.setHostCount(4);
 * const agent = agents.agentFor("llm", 100);
 * agents.close();
 * ```
 */
export class UpstreamAgents {
    readonly #agents = new Map<string, Agent>();
    #hostCount = 1;

    /** Records the number of known hosts, which share an upstream's connections; this one included. */
    setHostCount(count: number): void {
        this.#hostCount = count;
    }

    /**
     * Returns the agent of a service.
     *
     * @param service The service.
     * @param maximumConnections Connections that one upstream accepts from all hosts; `undefined` where not configured.
     */
    agentFor(service: string, maximumConnections: number | undefined): Agent {
        const connections = this.#connectionsPerUpstream(maximumConnections);
        const existing = this.#agents.get(service);
        if (existing !== undefined) {
            existing.maxSockets = connections;
            existing.maxFreeSockets = connections;
            return existing;
        }
        const agent = createUpstreamAgent(connections);
        this.#agents.set(service, agent);
        return agent;
    }

    #connectionsPerUpstream(maximumConnections: number | undefined): number {
        const connections = maximumConnections === undefined
            ? DEFAULT_CONNECTIONS_PER_UPSTREAM
            : Math.floor(maximumConnections * CONNECTION_SHARE / this.#hostCount);
        return Math.max(MINIMUM_CONNECTIONS, connections);
    }

    close(): void {
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
    }
}
