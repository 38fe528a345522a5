/**
Entry point of the program on a site. Each process runs one role and loads only the modules that the role needs.
*/
import process from 'node:process';
import {readSiteFile, siteFileVariable} from './platform/site-file.ts';
import {configureEngine} from './utils/engine.ts';

const main = async (role: string | undefined, featuresFile: string | undefined): Promise<void> => {
	const site = readSiteFile(process.env[siteFileVariable]);
	configureEngine(site.processors);
	if (role === 'entry') {
		const {createFeatures, readFeatureModes} = await import('./core/site-features.ts');
		const {runSiteEntry} = await import('./plugins/site-entry.ts');
		await runSiteEntry(site, createFeatures(readFeatureModes(featuresFile), site));
	} else if (role === 'agent') {
		const {runSiteAgent} = await import('./plugins/site-agent.ts');
		await runSiteAgent(site);
	} else {
		process.stderr.write('usage: chervilworks-site entry [FEATURES.ini] | agent\n');
		process.exitCode = 2;
	}
};

void main(process.argv[2], process.argv[3]);
