/**
 * The connections of one host to the upstreams of each service.
 *
 * @module
 */
import { type Agent } from "node:http";
import { createUpstreamAgent } from "./upstreamAgent.js";

/** Connections of one host to an upstream, where a configuration says nothing. */
const DEFAULT_CONNECTIONS = 16;

/** Share of an upstream's connections that the hosts use together. */
const CONNECTION_SHARE = 0.85;

const FEWEST_CONNECTIONS = 4;

/** Keeps an agent for each service; an agent's limit is the one that held when its first request came. */
export class UpstreamAgents {
    readonly #agents = new Map<string, Agent>();

    /**
     * Gives the agent of a service.
     *
     * @param service The service.
     * @param maximumConnections What one upstream accepts from all hosts; `undefined` where nothing is known.
     * @param hostCount Hosts that share them, this one included.
     */
    agentFor(service: string, maximumConnections: number | undefined, hostCount: number): Agent {
        const known = this.#agents.get(service);
        if (known !== undefined) {
            return known;
        }
        const part = maximumConnections === undefined
            ? DEFAULT_CONNECTIONS
            : Math.floor(maximumConnections * CONNECTION_SHARE / hostCount);
        const agent = createUpstreamAgent(Math.max(FEWEST_CONNECTIONS, part));
        this.#agents.set(service, agent);
        return agent;
    }

    close(): void {
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
    }
}
